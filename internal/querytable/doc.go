// Package querytable is the data plane of a pool node of our own interface (that of the
// users' platform is package sessiontable). It holds one group's sessions, queries and connections in a table
// over which passes are run (design 7). It decides where each query runs, when it may
// start and when its reply may be sent.
//
// Table is deterministic: Step takes the time and the events and returns the effects,
// which the caller carries out; the end of each is an event again. A query goes
// through these states:
//
//	routing             no database is chosen yet
//	awaitingPosition    its replica has not applied what the query needs
//	awaitingConnection  its database has no free connection
//	running             its statements are at the database
//	awaitingMajority    no majority of the databases has what it did or read
//
// Whoever runs a Table guarantees that Step is called by one goroutine at a time, with
// times that never go back, in microseconds of a monotonic clock that starts above 0,
// and that every effect which ends in an event gets exactly that event or, if its
// result is lost for good, none.
//
// Table guarantees that every Query ends in one Reply by its deadline; that a write is
// given to a database at most once; that a read shows what its class allows (design
// 7.4); and that a reply to a write is sent only when a majority of the databases have
// it in the epoch it was made in (design 8.1). Statements of a session run on a
// connection with exactly its values and prepared statements.
package querytable
