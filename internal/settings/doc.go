// Package settings reads and checks JSON against the messages of
// schema/settings.proto, where the type, default and check of each setting stand
// (design 10). Read does so for any of them; ReadConfiguration also checks what no
// single field can, that the names in a partner's configuration refer to something.
//
// Both report every problem found and not only the first, and never fail in
// another way: the text may come from anywhere.
package settings
