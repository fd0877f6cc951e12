package sessiontable

import (
	"stoneford/internal/ports"
	"stoneford/result"
)

// Effect is an action that Table.Step requests from the process: one of the structs in
// this file. Effects have to be performed in order.
type Effect interface{ isEffect() }

// Reply is the reply to a session's statement or to the opening of a session. The reply
// to a successful opening has the state Idle and the code Done.
type Reply struct {
	Session uint64
	ports.Reply
	Close bool // close the session after the reply
}

// CloseSession closes a session without a statement in flight, without a reply.
type CloseSession struct{ Session uint64 }

// Connect opens a connection to a database. A ConnectFinished event reports the result.
type Connect struct {
	Conn      uint64 // connection ID, assigned by the table
	Address   string
	Group     string
	ID        string // database expected at the address
	TimeoutUs int64  // the connect fails after this time
}

// Send writes operations to a connection, in order and in one write. The database answers
// each with one AnswerReceived event.
type Send struct {
	Conn uint64
	Ops  []ports.Op
}

// CloseConnection closes a connection, or cancels its connect, regardless of what runs
// on it.
type CloseConnection struct{ Conn uint64 }

// RenewLease requests an immediate Update, because a statement or a commit waits for a
// lease.
type RenewLease struct{}

// LogEntry is a line for the process's log.
type LogEntry struct {
	Code result.Code
	Text string
}

func (Reply) isEffect()           {}
func (CloseSession) isEffect()    {}
func (Connect) isEffect()         {}
func (Send) isEffect()            {}
func (CloseConnection) isEffect() {}
func (RenewLease) isEffect()      {}
func (LogEntry) isEffect()        {}
