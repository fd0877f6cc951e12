package sessiontable

import "time"

// Options bound what a Table does. A zero value takes the default. Package
// sessionpool sets Lease, ReadyGrace and RoutingGrace from the learner's lease and the
// platform's bounds.
type Options struct {
	// Lease is how long a node may rely on what it learned from the voters. Default 1 s.
	Lease time.Duration
	// ReadyGrace is how long after its lease the node still reports itself ready. A
	// longer one keeps a partitioned node in service, which can run no current read.
	// Default three leases.
	ReadyGrace time.Duration
	// RoutingGrace is how long after its lease the node still routes statements by its
	// routing table, which may have been replaced meanwhile. Default 1 s.
	RoutingGrace time.Duration

	// StalenessMargin is subtracted from the staleness that a route allows, for the
	// time that a reply takes. Default 150 ms.
	StalenessMargin time.Duration
	// UnavailableWait bounds how long a statement waits while no database can run it.
	// A longer one hides short outages, and delays the caller's own retry. Default 75 ms.
	UnavailableWait time.Duration
	// ExpectedFailover is how long a change of primary is expected to take where no
	// earlier one was measured. Default 700 ms.
	ExpectedFailover time.Duration
	// ConfirmationTimeout bounds how long an answered commit waits for the lease to be
	// renewed; after it, its outcome is in doubt. Default 400 ms.
	ConfirmationTimeout time.Duration
	// IdleTransactionMargin is how much longer than the operators' limit a transaction
	// may be idle before it is rolled back. Default 200 ms.
	IdleTransactionMargin time.Duration

	// UnresponsiveAfter is how long a statement may run before its database counts as
	// failing; 8 average run times if that is longer. A shorter one moves reads sooner,
	// and mistakes slow statements for failures. Default 400 ms.
	UnresponsiveAfter time.Duration
	// AbandonedTimeout is how long the answer to a statement that nobody waits for may
	// take before its connection is closed. Default 3 s.
	AbandonedTimeout time.Duration
	// PrimaryDenialPeriod is how long a primary that denied its role gets no new
	// statement, unless a newer leadership comes first. Default 2 s.
	PrimaryDenialPeriod time.Duration
	// DrainTimeout is how long after a database announced that it drains it still gets
	// new statements. Default 6.2 s.
	DrainTimeout time.Duration

	// ConnectTimeout bounds a connect. Default 400 ms.
	ConnectTimeout time.Duration
	// OpenDelay is how long a statement waits for a connection in use before one more
	// is opened. A longer one saves connections and costs latency. Default 4 ms.
	OpenDelay time.Duration
	// IdleConnectionTimeout is how long an unused connection is kept. Default 60 s.
	IdleConnectionTimeout time.Duration
	// ReservedConnections is how many connections of each database are left to the
	// control processes. Default 4.
	ReservedConnections int
	// MaxPrepared bounds the prepared statements on one connection. Default 64.
	MaxPrepared int

	// LocalRunTime is the assumed run time of a statement in the node's zone, and
	// RemoteRunTime elsewhere, while none was measured. Defaults 5 ms and 25 ms.
	LocalRunTime, RemoteRunTime time.Duration
	// RunTimeRetention is how long a measured run time above the assumed one counts
	// without a new measurement, so that a database that was slow gets another chance.
	// Default 5 s.
	RunTimeRetention time.Duration
	// CrossZonePenalty is added to the cost of a read in another zone. Default 2 ms.
	CrossZonePenalty time.Duration
	// PrimaryReadPenalty is added to the cost of a read at the primary that a replica
	// could run. Default 10 ms.
	PrimaryReadPenalty time.Duration

	// MaxQueue bounds the statements that wait for one database. Default 256.
	MaxQueue int
	// MaxAttempts bounds the databases at which a read is tried. Default 3.
	MaxAttempts int
	// DefaultCapacity is the number of statements that a database runs at once if it
	// announces none. Default 4.
	DefaultCapacity int
	// SeparateBegin sends a transaction's begin alone, and its first statement after
	// the begin's answer. It is needed where a database that rejects the begin would
	// run the statement on its own.
	SeparateBegin bool
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Lease, time.Second},
		{&o.RoutingGrace, time.Second},
		{&o.StalenessMargin, 150 * time.Millisecond},
		{&o.UnavailableWait, 75 * time.Millisecond},
		{&o.ExpectedFailover, 700 * time.Millisecond},
		{&o.ConfirmationTimeout, 400 * time.Millisecond},
		{&o.IdleTransactionMargin, 200 * time.Millisecond},
		{&o.UnresponsiveAfter, 400 * time.Millisecond},
		{&o.AbandonedTimeout, 3 * time.Second},
		{&o.PrimaryDenialPeriod, 2 * time.Second},
		{&o.DrainTimeout, 6200 * time.Millisecond},
		{&o.ConnectTimeout, 400 * time.Millisecond},
		{&o.OpenDelay, 4 * time.Millisecond},
		{&o.IdleConnectionTimeout, 60 * time.Second},
		{&o.LocalRunTime, 5 * time.Millisecond},
		{&o.RemoteRunTime, 25 * time.Millisecond},
		{&o.RunTimeRetention, 5 * time.Second},
		{&o.CrossZonePenalty, 2 * time.Millisecond},
		{&o.PrimaryReadPenalty, 10 * time.Millisecond},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if o.ReadyGrace == 0 {
		o.ReadyGrace = 3 * o.Lease
	}
	for _, d := range []struct {
		field *int
		value int
	}{
		{&o.ReservedConnections, 4},
		{&o.MaxPrepared, 64},
		{&o.MaxQueue, 256},
		{&o.MaxAttempts, 3},
		{&o.DefaultCapacity, 4},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}
