// Package querytable is the data plane of a pool node for the project's own database
// interface (package sessiontable is that for the users' platform). It holds the
// sessions, queries and connections of one group in a table that is processed in passes
// (design 7). It decides where each query runs, when it may start and when its reply may
// be sent.
//
// Table is deterministic: Step takes the time and the events and returns effects. The
// caller executes each effect and passes its result back as another event. A query goes
// through these states:
//
//	routing             no database is selected yet
//	awaitingPosition    the replica has not applied the position that the query needs
//	awaitingConnection  the database has no free connection
//	running             the statements were sent to the database
//	awaitingMajority    no majority has received the position that the query wrote or read
//
// The caller guarantees that Step is called by one goroutine at a time, with times that
// never decrease, in microseconds of a monotonic clock that starts above 0. Every effect
// that ends in an event must produce exactly that event or, if its result is lost for
// good, none.
//
// Table guarantees that every Query ends in one Reply by its deadline; that a write is
// sent to a database at most once; that a read meets the freshness of its class (design
// 7.4); and that the reply to a write is sent only after a majority of the databases has
// received it in the epoch of the run (design 8.1). Statements of a session run on a
// connection that has exactly the session's values and prepared statements.
package querytable
