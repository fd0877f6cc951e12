// Package fleetstate is how the processes of a fleet whose databases announce
// themselves report their state to operators (design 14): read-only, over HTTP, and
// put together only when somebody asks.
//
// A process calls Serve with a Source; the commands of cmd/stoneford call Fetch or
// FetchAll and print the results with the Write functions. The JSON names of the
// state are an interface: operators' scripts rely on them, so that they never change
// and differ from the names of the fields.
package fleetstate
