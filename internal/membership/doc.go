// Package membership reads from the replicated records (package crdt) which processes
// the fleet consists of and which of them are alive (design 4).
//
// Every process writes a record of itself and renews it; the watchers of a node
// (package failuredetector) write whether they suspect it. This is a view that may lag
// and differ between processes; no rule of safety may depend on it.
package membership
