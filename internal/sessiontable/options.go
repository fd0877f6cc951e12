package sessiontable

import "time"

// Options configure a Table. A zero field stands for its default. Package sessionpool
// sets ReadyGrace, RoutingGrace and DrainTimeout from its own constants and the platform's
// bounds, and always sets SeparateBegin.
type Options struct {
	// Lease is how long a node may rely on the state learned from the voters. Default 1 s.
	Lease time.Duration
	// ReadyGrace is how long the node still reports itself ready after its lease ran out.
	// A longer grace keeps a partitioned node in service, which cannot run current reads.
	// Default three leases.
	ReadyGrace time.Duration
	// RoutingGrace is how long the node still routes statements by its routing table after
	// its lease ran out, although the table may have been replaced. Default 1 s.
	RoutingGrace time.Duration

	// StalenessMargin is subtracted from the staleness that a route allows, to account for
	// the time that a reply takes. Default 150 ms.
	StalenessMargin time.Duration
	// UnavailableWait bounds how long a statement waits while no database can run it. A
	// longer wait hides short outages, but delays the caller's own retry. Default 75 ms.
	UnavailableWait time.Duration
	// ExpectedFailover is the expected duration of a failover in a group whose last
	// failover's duration is unknown. Default 700 ms.
	ExpectedFailover time.Duration
	// ConfirmationTimeout bounds how long a completed commit waits for a lease renewal.
	// After that, it ends in doubt. Default 400 ms.
	ConfirmationTimeout time.Duration
	// IdleTransactionMargin is added to the operators' limit on the idle time of a
	// transaction, after which the transaction is rolled back. Default 200 ms.
	IdleTransactionMargin time.Duration

	// UnresponsiveAfter is how long a statement may run before its database counts as
	// failing, or 8 average run times if that is longer. A shorter time retries reads
	// elsewhere sooner, but mistakes slow statements for failures. Default 400 ms.
	UnresponsiveAfter time.Duration
	// AbandonedTimeout is how long a connection waits for the answer to an abandoned read
	// or a rollback before it is closed. Default 3 s.
	AbandonedTimeout time.Duration
	// PrimaryDenialPeriod is how long a primary that denied its role gets no new
	// statements, unless a newer leadership is learned earlier. Default 2 s.
	PrimaryDenialPeriod time.Duration
	// DrainTimeout is how long a database still gets new statements after it announced
	// that it is draining. Default 6.2 s.
	DrainTimeout time.Duration

	// ConnectTimeout bounds a connect. Default 400 ms.
	ConnectTimeout time.Duration
	// OpenDelay is how long a statement waits for a connection in use before another
	// connection is opened. A longer delay saves connections and costs latency. Default
	// 4 ms.
	OpenDelay time.Duration
	// IdleConnectionTimeout is how long an idle connection is kept. Default 60 s.
	IdleConnectionTimeout time.Duration
	// ReservedConnections is the number of connections of each database that are reserved
	// for the control processes. Default 4.
	ReservedConnections int
	// MaxPrepared bounds the prepared statements on one connection. Default 64.
	MaxPrepared int

	// LocalRunTime is the assumed run time of a statement at a database in the node's
	// zone, and RemoteRunTime in other zones, until one is measured. Defaults 5 ms and
	// 25 ms.
	LocalRunTime, RemoteRunTime time.Duration
	// RunTimeRetention is how long an average run time above the assumed one is used
	// without a new measurement. After that, a database that was slow gets statements
	// again. Default 5 s.
	RunTimeRetention time.Duration
	// CrossZonePenalty is added to the cost of a read in another zone. Default 2 ms.
	CrossZonePenalty time.Duration
	// PrimaryReadPenalty is added to the cost of running a read at the primary that a
	// replica could run. Default 10 ms.
	PrimaryReadPenalty time.Duration

	// MaxQueue bounds the statements queued for one database. Default 256.
	MaxQueue int
	// MaxAttempts bounds the attempts of a statement whose database failed. Default 3.
	MaxAttempts int
	// DefaultCapacity is the number of statements that a database can run at once if it
	// announces no capacity. Default 4.
	DefaultCapacity int
	// SeparateBegin sends a transaction's first statement only after the database has
	// answered the begin. It is required if a database that rejects a begin would run the
	// statement behind it outside a transaction.
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
