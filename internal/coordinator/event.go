package coordinator

import (
	"stoneford/failover/fenced"
	"stoneford/internal/ports"
	"stoneford/schema"
)

// Event is what a Core takes in. Its implementations are the types of this file.
type Event interface{ isEvent() }

type (
	// Message brings an envelope from another process.
	Message struct{ Envelope *schema.Envelope }

	// Announce brings a database's announcement of itself. An AnnounceDone of the same
	// ID ends it.
	Announce struct {
		ID       uint64
		Instance ports.Instance
	}

	// ChangeTable brings an operator's change of the routing table. A ChangeTableDone
	// of the same ID ends it.
	ChangeTable struct {
		ID     uint64
		Change ports.TableChange
	}

	// FetchTable asks for the newest routing table. A FetchTableDone of the same ID
	// ends it.
	FetchTable struct{ ID uint64 }

	// Move asks that a group's primary serve at another site, which is a zone or a
	// region. A MoveDone of the same ID ends it.
	Move struct {
		ID          uint64
		Group, Site string
	}

	// CancelMove takes back a move that is staged. A MoveDone of the same ID ends it.
	CancelMove struct {
		ID    uint64
		Group string
	}

	// DatabaseReply ends a DatabaseCall.
	DatabaseReply struct {
		Group string
		Reply fenced.DatabaseReply
	}

	// PromoteDone ends a Promote. OK means that the platform accepted the order, Gone that
	// it knows the database not to be running.
	PromoteDone struct {
		Group    string
		OK, Gone bool
	}

	// Stop orders this process to shut down.
	Stop struct{}

	// Synced reports that all log entries up to a watermark are on disk.
	Synced struct{ Watermark uint64 }

	// SyncFailed reports that the disk refused log entries: nothing is known of them, nor
	// of those that came after.
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
