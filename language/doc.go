// Package language parses the sentences in which operators ask and command a fleet
// (design 11). The same text is typed at the command line and sent over HTTP.
//
// Parse turns a text into a Sentence; a name in it is resolved by Resolve, Group or
// MatchSubject against the targets that the caller knows. Nothing in the package
// depends on the state of a fleet or on a clock. Every error is an *Error that
// points at a column of the text.
package language
