package language

import (
	"fmt"
	"time"
)

// Help describes the grammar for operators.
const Help = `book NAME for replacement | switch | stop at TIME
confirm booking N
cancel booking N
move booking N to TIME
what is booked [today | tomorrow | on DATE] [for WHOM]
why is read ID on its copy      ID: the query id its caller gave
why are reads of GROUP where they are
status
who applied what
help

NAME: a database or machine by its name, or in words: the Cluj replica,
      the Cluj replica of inventory-1, the primary of inventory-1
TIME: 02:00 (the next one), today 14:30, tomorrow 02:00, 2027-01-31 02:00
DATE: 2027-01-31
WHOM: a partner, group, database or machine
Times are read in the time zone of your partner's configuration.`

// Values of Sentence.Verb.
const (
	VerbSchedule    = "book"    // propose a new maintenance window
	VerbConfirm     = "confirm" // confirm a proposed window
	VerbCancel      = "cancel"  // cancel a window
	VerbMove        = "move"    // change the time of a window
	VerbListWindows = "booked"  // list windows
	VerbStatus      = "status"  // summarize the fleet
	VerbApplied     = "applied" // list the configuration revision that each process applies
	VerbWhy         = "why"     // explain why reads went to the databases that served them
	VerbHelp        = "help"
)

// Sentence is a parsed text. Verb determines which of the other fields are set.
type Sentence struct {
	Verb       string
	TargetName []Token   // VerbSchedule: name of the target, to be passed to Resolve
	Kind       string    // VerbSchedule: kind of window, a constant of package maintenance
	WindowID   uint64    // VerbConfirm, VerbCancel, VerbMove
	At         time.Time // VerbSchedule, VerbMove
	From       time.Time // VerbListWindows: start of the requested day, zero for all pending windows
	Until      time.Time // VerbListWindows: end of the requested day
	Subject    Token     // VerbListWindows: subject whose windows to list, to be passed to MatchSubject; empty for all
	ReadID     string    // VerbWhy: ID that the caller of the read gave
	Group      Token     // VerbWhy: group whose reads to explain, to be passed to ResolveGroup
}

// Token is a word of a text.
type Token struct {
	Text   string // empty at the end of the text
	Column int    // column of the first character, counted from 1
}

// Error reports that a text cannot be parsed or that a name in it cannot be resolved.
type Error struct {
	Column    int // column of the token at fault, counted from 1
	Text      string
	Ambiguous bool // whether a name matches several targets, which Text lists
}

// Error returns the column and the text of the error.
func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Text) }

func errorAt(column int, text string) *Error { return &Error{Column: column, Text: text} }
