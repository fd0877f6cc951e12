package coordinator

import (
	"stoneford/failover/fenced"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// Event is an input of a Core. Its implementations are the types in this file.
type Event interface{ isEvent() }

type (
	// Message carries an envelope from another process.
	Message struct{ Envelope *schema.Envelope }

	// Announce carries a database's announcement of itself. The reply is an AnnounceDone
	// with the same ID.
	Announce struct {
		ID       uint64
		Instance ports.Instance
	}

	// ChangeTable carries an operator's change of the routing table. The reply is a
	// ChangeTableDone with the same ID.
	ChangeTable struct {
		ID     uint64
		Change ports.TableChange
	}

	// FetchTable requests the newest routing table. The reply is a FetchTableDone with
	// the same ID.
	FetchTable struct{ ID uint64 }

	// Move requests that a group's primary move to another site, which is a zone or a
	// region. The reply is a MoveDone with the same ID.
	Move struct {
		ID          uint64
		Group, Site string
	}

	// CancelMove cancels a staged move. The reply is a MoveDone with the same ID.
	CancelMove struct {
		ID    uint64
		Group string
	}

	// DatabaseReply carries the reply to a DatabaseCall.
	DatabaseReply struct {
		Group string
		Reply fenced.DatabaseReply
	}

	// PromoteDone carries the platform's reply to a Promote. OK is set if the platform
	// accepted the request, Gone if it reports that the database is not running.
	PromoteDone struct {
		Group    string
		OK, Gone bool
	}

	// Stop orders this process to shut down.
	Stop struct{}

	// Synced reports that all log entries up to a watermark are on disk.
	Synced struct{ Watermark uint64 }

	// SyncFailed reports that a write of log entries failed. These entries and all later
	// ones may or may not be on disk.
	SyncFailed struct{ Cause string }
)

func (Message) isEvent()       {}
func (Announce) isEvent()      {}
func (ChangeTable) isEvent()   {}
func (FetchTable) isEvent()    {}
func (Move) isEvent()          {}
func (CancelMove) isEvent()    {}
func (DatabaseReply) isEvent() {}
func (PromoteDone) isEvent()   {}
func (Stop) isEvent()          {}
func (Synced) isEvent()        {}
func (SyncFailed) isEvent()    {}
