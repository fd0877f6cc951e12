// Package membership derives from the replicated records (package crdt) which processes
// belong to the fleet and which of them are alive (design 4).
//
// Every process writes a record about itself and renews it. The watchers of a node
// (package failuredetector) write records about whether they suspect it. The resulting
// view may lag behind and differ between processes, so no safety property may depend on
// it.
package membership
