// Package result defines the numbered result codes, which are the same in HTTP replies
// and in logs. Table is the only list of them; docs/result-codes.md is generated from it
// (tools/generate-docs).
//
// Numbers never change and are never reused, since callers, operators and their alerts
// identify codes by number. The hundreds digit shows who has to act on a code.
package result

// Code is a numbered result.
type Code int

// Outcome is the outcome of a query's writes.
type Outcome string

// Outcomes as they appear in replies.
const (
	Done      Outcome = "done"         // the writes took effect
	NoEffect  Outcome = "nothing kept" // no write took effect
	Uncertain Outcome = "uncertain"    // it is unknown whether the writes took effect
)

// OK is the code of a request that succeeded.
const OK Code = 0

// Caller errors. Table contains the meaning of each code.
const (
	BadJSON                  Code = 101
	TooLarge                 Code = 102
	UnknownSession           Code = 103
	UnknownRoute             Code = 104
	UnknownClass             Code = 105
	ClassNotOnRoute          Code = 106
	OutsideTransaction       Code = 107
	SessionInUse             Code = 108
	UnknownPreparedStatement Code = 109
	BadToken                 Code = 110
	StatementFailed          Code = 111
	InTransaction            Code = 112
	BadQuery                 Code = 113
	SessionExists            Code = 114
)

// Rejections: nothing took effect, and the caller may retry (Code.Retryable).
const (
	QueueFull           Code = 201
	DeadlineTooNear     Code = 202
	Stopping            Code = 203
	NoPrimary           Code = 204
	NoFreshReplica      Code = 205
	NoConnections       Code = 206
	NotConfigured       Code = 207
	DatabaseUnreachable Code = 208
	DatabaseDraining    Code = 209
)

// Failures that the caller has to investigate, since it may be unknown which writes took
// effect.
const (
	ResponseLost    Code = 301
	NoMajority      Code = 302
	TransactionLost Code = 303
)

// Replies to operators.
const (
	BadOperatorToken     Code = 401
	NotOwner             Code = 402
	InvalidConfiguration Code = 403
	RevisionConflict     Code = 404
	ChangeUncertain      Code = 405
	NoVoterMajority      Code = 406
	UnknownPath          Code = 407
	OperatorBadJSON      Code = 408
	NotFound             Code = 409
	NotUnderstood        Code = 410
	Ambiguous            Code = 411
	MaintenanceOverlaps  Code = 412
	InsufficientCapacity Code = 413
	TimeInPast           Code = 414
	WrongState           Code = 415
)

// Log events.
const (
	FailoverStarted       Code = 501
	FailoverTargetChosen  Code = 502
	FailoverCompleted     Code = 503
	FailoverWaiting       Code = 504
	MemberAdmitted        Code = 505
	RoleOwnerChanged      Code = 506
	PeerSuspected         Code = 507
	RevisionApplied       Code = 508
	VoterStarted          Code = 509
	ConfigChanged         Code = 510
	ConfigInvalid         Code = 511
	EpochSeen             Code = 512
	LogDamaged            Code = 513
	MaintenanceAdvanced   Code = 514
	MemberRetired         Code = 515
	DatabaseStateChanged  Code = 516
	StatementsRejected    Code = 517
	VoterDiskFailed       Code = 518
	VoterDiskRecovered    Code = 519
	MoveAdvanced          Code = 520
	MembershipChosen      Code = 521
	QuorumContactLost     Code = 522
	QuorumContactRestored Code = 523
	InvariantViolated     Code = 524
)

// Row is the entry of one code in Table.
type Row struct {
	Code    Code
	HTTP    int // status of an HTTP reply with the code, 0 for log events
	Meaning string
	Action  string // recommended action
}

// Table contains all codes in ascending order.
var Table = []Row{
	{OK, 200, "done", "nothing"},
	{BadJSON, 400, "the body is not the JSON this path takes", "correct the body"},
	{TooLarge, 413, "the body is larger than 1 MiB", "send less"},
	{UnknownSession, 404, "no such session on this node", "open a session, with the resume token if there is one"},
	{UnknownRoute, 404, "no such route in the configuration in force", "name a configured route"},
	{UnknownClass, 400, "no such class in the configuration in force", "name a configured class"},
	{ClassNotOnRoute, 400, "the class is not among the route's", "name one of the route's classes"},
	{OutsideTransaction, 409, "commit or rollback without an open transaction, or begin inside one", "begin first, or end the one that is open"},
	{SessionInUse, 409, "another query of this session is not ended yet", "wait for its reply"},
	{UnknownPreparedStatement, 400, "the session has no such prepared name", "prepare it first"},
	{BadToken, 400, "the resume token is not one of this route's group", "open the session without it, or on its own route"},
	{StatementFailed, 422, "the database rejected the statement", "read the statement's error"},
	{InTransaction, 409, "session values and prepared names cannot change while a transaction is open", "end the transaction first"},
	{BadQuery, 400, "the query has no statement, or a read-only class with begin", "correct the query"},
	{SessionExists, 409, "the session id is in use", "name another, or none"},
	{QueueFull, 503, "the queue of this route is full on this node", "retry after retry_after_us"},
	{DeadlineTooNear, 503, "the query cannot meet its deadline", "retry after retry_after_us, or with a longer deadline"},
	{Stopping, 503, "this node is stopping", "open the session on another node with the token, at once"},
	{NoPrimary, 503, "the group has no responding primary; a failover may be in progress", "retry after retry_after_us"},
	{NoFreshReplica, 503, "no replica is known to be fresh enough", "retry after retry_after_us"},
	{NoConnections, 503, "this node has no lease on a connection to the database", "retry after retry_after_us"},
	{NotConfigured, 503, "the node has no configuration yet", "retry after retry_after_us"},
	{DatabaseUnreachable, 503, "the database could not be reached; the statement was not sent", "retry after retry_after_us"},
	{DatabaseDraining, 503, "the database is draining; the statement was not sent", "retry after retry_after_us"},
	{ResponseLost, 504, "the statement was sent and its response was lost", "check whether it took effect before a retry"},
	{NoMajority, 504, "the commit is on the primary and no majority confirmed it in its epoch", "check whether it took effect before a retry"},
	{TransactionLost, 409, "the open transaction was lost before its commit was sent", "retry the transaction"},
	{BadOperatorToken, 401, "the token is missing or no partner's", "send the partner's token"},
	{NotOwner, 403, "this belongs to the other partner", "ask its owner"},
	{InvalidConfiguration, 422, "the configuration has errors; each is listed by field", "correct the fields"},
	{RevisionConflict, 409, "another revision came first; the current one is returned", "read it and base the change on it"},
	{ChangeUncertain, 504, "no majority confirmed the change in time; it may still be committed", "read the configuration before a retry"},
	{NoVoterMajority, 503, "no majority of voters was reached; nothing was changed", "retry after retry_after_us"},
	{UnknownPath, 404, "no such path", "see docs/operating.md"},
	{OperatorBadJSON, 400, "the body is not the JSON this path takes", "correct the body"},
	{NotFound, 404, "nothing by that name", "see the names in the reply"},
	{NotUnderstood, 400, "the sentence is not understood; the column is named", "see `stoneford say help`"},
	{Ambiguous, 409, "the name fits several; they are named", "name one of them"},
	{MaintenanceOverlaps, 409, "another booking of this group or machine lies in that time", "choose another time, or cancel that one"},
	{InsufficientCapacity, 409, "the move would remove too much capacity at once", "choose another time"},
	{TimeInPast, 400, "the time is in the past", "name a time in the future"},
	{WrongState, 409, "the booking or move is past that", "ask what is booked, or how the moves stand"},
	{FailoverStarted, 0, "a change of primary began", "watch for 503"},
	{FailoverTargetChosen, 0, "the most advanced replica was chosen as the primary", "watch for 503"},
	{FailoverCompleted, 0, "the new primary was seen to lead", "nothing"},
	{FailoverWaiting, 0, "the change of primary waits or starts again; the details say why", "restore a replica of the group if it stays so"},
	{MemberAdmitted, 0, "a replica with a new disk has caught up and counts as a member", "nothing"},
	{RoleOwnerChanged, 0, "a singleton role has another leader", "nothing"},
	{PeerSuspected, 0, "a peer is unresponsive", "look at the machine if it stays so"},
	{RevisionApplied, 0, "a revision was applied by this process", "nothing"},
	{VoterStarted, 0, "this voter takes part in ballots from now on", "nothing"},
	{ConfigChanged, 0, "the configuration file changed; what can be applied at run time was applied", "nothing"},
	{ConfigInvalid, 0, "the configuration file changed and has errors; the old configuration stays", "correct the file"},
	{EpochSeen, 0, "the node follows a new epoch of a group", "nothing"},
	{LogDamaged, 0, "the voter's write-ahead log is corrupt; it was quarantined and the voter joins again", "look at the disk; remove the quarantined log"},
	{MaintenanceAdvanced, 0, "a maintenance window advanced to its next state", "nothing"},
	{MemberRetired, 0, "a replica that is to be replaced was set aside; nothing acknowledged depends on it", "nothing"},
	{DatabaseStateChanged, 0, "a database announced a change of its state, or counts as gone", "nothing"},
	{StatementsRejected, 0, "this node rejected statements that no database could take; logged once a second at most", "look for a change of primary, a partition or overload at that moment"},
	{VoterDiskFailed, 0, "the disk rejected a write of this voter's log: it does not vote until the disk accepts it", "look at the disk; the other voters go on"},
	{VoterDiskRecovered, 0, "the disk accepts writes of this voter's log: it votes again", "nothing"},
	{MoveAdvanced, 0, "a group's move between sites advanced to its next phase", "nothing; docs/moves.md if it stays staged or failed"},
	{MembershipChosen, 0, "another membership of voters is in effect", "nothing; `stoneford fleet voters` shows them"},
	{QuorumContactLost, 0, "this process has no lease: no majority of the voters confirms the revisions it uses; each voter's state is listed", "nothing if it ends within seconds; else look at the voters that are named"},
	{QuorumContactRestored, 0, "this process has a lease again: a majority of the voters confirms the revisions it uses", "nothing"},
	{InvariantViolated, 0, "an invariant is violated; it is counted in the state and logged once for each rule", "report it with the logs: it is a fault of the program"},
}

var rows = func() map[Code]Row {
	m := map[Code]Row{}
	for _, r := range Table {
		m[r.Code] = r
	}
	return m
}()

// Row returns the entry of the code in Table, the zero Row for an undefined code.
func (c Code) Row() Row { return rows[c] }

// String returns the meaning of the code.
func (c Code) String() string { return rows[c].Meaning }

// Retryable reports whether the code guarantees that nothing took effect and that the
// caller may retry.
func (c Code) Retryable() bool { return c >= firstRejection && c <= lastRejection }

// Range of the codes for rejections.
const (
	firstRejection Code = 200
	lastRejection  Code = 299
)
