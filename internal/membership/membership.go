package membership

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/crdt"
	"stoneford/failuredetector"
	"stoneford/schema"
)

// Prefixes of the records' keys.
const (
	NodePrefix    = "node/"    // followed by the node's address; schema.NodeRecord
	SuspectPrefix = "suspect/" // followed by SuspectKey's parts; schema.SuspectRecord
	ReportPrefix  = "report/"  // schema.DatabaseReport
	AppliedPrefix = "applied/" // schema.AppliedRecord

	// The smallest keys after all keys of a prefix: "0" follows "/".
	nodePrefixEnd    = "node0"
	suspectPrefixEnd = "suspect0"
)

// memberTimeout is the time after the last renewal of its record at which a node stops
// being a member. It spans several renewals, so that losing a few removes no node.
const memberTimeout = 8 * time.Second

// Node is one process of the fleet.
type Node struct {
	Address string
	*schema.NodeRecord
	Alive bool // neither draining nor confirmed dead
}

// ReplicatedRanges returns the ranges of keys that every node replicates.
func ReplicatedRanges() []crdt.KeyRange {
	return []crdt.KeyRange{{Start: NodePrefix, End: nodePrefixEnd}, {Start: SuspectPrefix, End: suspectPrefixEnd}}
}

// SuspectKey returns the key of a watcher's suspicion of a node.
func SuspectKey(node, watcher string) string { return SuspectPrefix + node + "/" + watcher }

// ReadNodes returns the nodes that are members at now, in microseconds, sorted by address.
// It ignores records that cannot be decoded or were not renewed within memberTimeout.
func ReadNodes(now int64, store *crdt.Store) []Node {
	var nodes []Node
	store.ForEach(NodePrefix, func(record *schema.Record) {
		node := &schema.NodeRecord{}
		if proto.Unmarshal(record.Data, node) != nil || store.AgeUs(now, record.Key) > memberTimeout.Microseconds() {
			return
		}
		nodes = append(nodes, Node{Address: strings.TrimPrefix(record.Key, NodePrefix), NodeRecord: node})
	})
	addresses := Addresses(nodes)
	for i, node := range nodes {
		nodes[i].Alive = !node.Draining && !failuredetector.SuspicionConfirmed(node.Address, addresses, func(watcher string) bool {
			return isSuspected(store, node, watcher)
		})
	}
	return nodes
}

// isSuspected reports whether a watcher suspects the current run of a node.
func isSuspected(store *crdt.Store, node Node, watcher string) bool {
	record := store.Get(SuspectKey(node.Address, watcher))
	suspicion := &schema.SuspectRecord{}
	return record != nil && proto.Unmarshal(record.Data, suspicion) == nil && suspicion.Suspected && suspicion.Run == node.Run
}

// Addresses returns the nodes' addresses.
func Addresses(nodes []Node) []string {
	addresses := make([]string, len(nodes))
	for i, node := range nodes {
		addresses[i] = node.Address
	}
	return addresses
}

// LiveAddresses returns the addresses of the nodes that are alive.
func LiveAddresses(nodes []Node) []string {
	var addresses []string
	for _, node := range nodes {
		if node.Alive {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// NewSuspicion returns the record that a watcher writes about a node. It applies only to
// the node's current run.
func NewSuspicion(nodes []Node, address string, suspected bool) *schema.SuspectRecord {
	suspicion := &schema.SuspectRecord{Suspected: suspected}
	for _, node := range nodes {
		if node.Address == address {
			suspicion.Run = node.Run
		}
	}
	return suspicion
}
