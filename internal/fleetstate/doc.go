// Package fleetstate reports the state of the processes to operators, in a fleet whose
// databases announce themselves (design 14). The state is read-only, served over HTTP,
// and collected only on request.
//
// A process calls Serve with a Source; the commands of cmd/stoneford call Fetch or
// FetchAll and print the results with the Write functions. The JSON names of the state
// are a public interface that operators' scripts rely on. They never change, so some
// differ from the names of the Go fields.
package fleetstate
