// Package language parses the sentences with which operators query and control a fleet
// (design 11). The command line and the HTTP interface accept the same text.
//
// Parse converts a text to a Sentence. Resolve, ResolveGroup and MatchSubject look up
// the names in a Sentence among the targets that the caller passes. The package reads
// neither the state of a fleet nor a clock. Every error is an *Error, which holds the
// column of the text at which parsing or name resolution failed.
package language
