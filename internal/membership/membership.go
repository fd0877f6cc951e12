// Package membership reads from the mergeable records who is in the fleet and who
// of them counts as alive (design 4).
package membership

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/crdt"
	"stoneford/failuredetector"
	"stoneford/schema"
)

// Keys of the records.
const (
	NodePrefix    = "node/"
	SuspectPrefix = "suspect/"
	ReportPrefix  = "report/"
	AppliedPrefix = "applied/"
	// After is the first key behind all of a prefix's.
	nodePrefixEnd    = "node0"
	suspectPrefixEnd = "suspect0"
)

// recordRetention is when a node whose record was not renewed drops out.
const recordRetention = 8_000_000

// Node is one process of the fleet.
type Node struct {
	Address string
	*schema.NodeRecord
	Alive bool
}

// ReplicatedRanges are the ranges of keys every node keeps, as pairs.
func ReplicatedRanges() [][2]string {
	return [][2]string{{NodePrefix, nodePrefixEnd}, {SuspectPrefix, suspectPrefixEnd}}
}

// SuspectKey is where a watcher writes what it holds of a node.
func SuspectKey(node, watcher string) string { return SuspectPrefix + node + "/" + watcher }

// ReadNodes returns all nodes, in order of their addresses.
func ReadNodes(now int64, s *crdt.Store) []Node {
	var ns []Node
	var all []string
	s.ForEach(NodePrefix, func(r *schema.Record) {
		d := &schema.NodeRecord{}
		if proto.Unmarshal(r.Data, d) != nil || s.AgeUs(now, r.Key) > recordRetention {
			return
		}
		a := strings.TrimPrefix(r.Key, NodePrefix)
		ns = append(ns, Node{Address: a, NodeRecord: d})
		all = append(all, a)
	})
	for i, n := range ns {
		ns[i].Alive = !n.Draining && !failuredetector.SuspicionConfirmed(n.Address, all, func(w string) bool {
			r := s.Get(SuspectKey(n.Address, w))
			d := &schema.SuspectRecord{}
			return r != nil && proto.Unmarshal(r.Data, d) == nil && d.Suspected && d.Run == n.Run
		})
	}
	return ns
}

// Addresses returns the nodes' addresses.
func Addresses(ns []Node) []string {
	as := make([]string, len(ns))
	for i, n := range ns {
		as[i] = n.Address
	}
	return as
}

// LiveAddresses returns the addresses of those that count as alive.
func LiveAddresses(ns []Node) []string {
	var as []string
	for _, n := range ns {
		if n.Alive {
			as = append(as, n.Address)
		}
	}
	return as
}

// NewSuspicion is the record a watcher writes of a node: it holds for the node's
// run of now only.
func NewSuspicion(ns []Node, node string, suspected bool) *schema.SuspectRecord {
	d := &schema.SuspectRecord{Suspected: suspected}
	for _, n := range ns {
		if n.Address == node {
			d.Run = n.Run
		}
	}
	return d
}
