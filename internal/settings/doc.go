// Package settings reads JSON settings and checks them against the messages of
// schema/settings.proto, which define the type, default and check of each setting (design
// 10). Read does so for any message; ReadConfiguration reads a partner's configuration and
// also checks the relations between its fields, such as names that refer to nothing.
//
// Both report every problem found and not only the first. They accept any text without a
// panic, since the text may come from an untrusted source.
package settings
