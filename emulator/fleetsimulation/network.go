package fleetsimulation

import (
	"slices"
	"strings"
)

// network models the network between hosts. Data from one host to another arrives in
// order, as over TCP; a partition delays it until the partition ends.
type network struct {
	scheduler     scheduler
	zones         map[string]string   // by host
	lossy         map[string]float64  // by zone: probability that the first transmission is lost
	partitions    map[[2]string]int   // by sender and receiver: number of overlapping partitions
	lastArrivalUs map[[2]string]int64 // newest arrival by sender and receiver
	pending       []pendingDelivery
	lastFaultUs   map[string]int64 // by host: last time at which it was partitioned or lossy
}

// pendingDelivery is data that a partition delays.
type pendingDelivery struct {
	from, to string
	sentUs   int64
	deliver  func()
}

// One-way delays.
const (
	inZoneDelayUs    = 200
	crossZoneDelayUs = 8_000
	toCallerDelayUs  = 1_000
)

func newNetwork(s scheduler) *network {
	return &network{scheduler: s, zones: map[string]string{}, lossy: map[string]float64{}, partitions: map[[2]string]int{}, lastArrivalUs: map[[2]string]int64{}, lastFaultUs: map[string]int64{}}
}

// reaches reports whether data from one host reaches the other.
func (n *network) reaches(from, to string) bool { return n.partitions[[2]string{from, to}] == 0 }

// connected reports whether two hosts reach each other in both directions.
func (n *network) connected(a, b string) bool { return n.reaches(a, b) && n.reaches(b, a) }

// partition adds a partition of one direction between two hosts. Partitions overlap: the
// direction works again once repair was called for each of them.
func (n *network) partition(from, to string) {
	if from != to {
		n.partitions[[2]string{from, to}]++
	}
}

// repair ends one partition of a direction. When the last one ends, delayed data arrives.
func (n *network) repair(from, to string) {
	k := [2]string{from, to}
	if n.partitions[k] == 0 {
		return
	}
	n.partitions[k]--
	if n.partitions[k] > 0 {
		return
	}
	delete(n.partitions, k)
	n.pending = slices.DeleteFunc(n.pending, func(d pendingDelivery) bool {
		if d.from == from && d.to == to {
			// The sender retransmits when its retransmission timer fires.
			n.deliverAfter(from, to, n.scheduler.Between(1_000, 600_000), d.deliver)
			return true
		}
		return false
	})
}

// faulty reports whether a host has a partitioned direction or is in a lossy zone.
func (n *network) faulty(host string) bool {
	for k := range n.partitions {
		if k[0] == host || k[1] == host {
			return true
		}
	}
	return n.lossy[n.zones[host]] > 0
}

// delay draws the delay between two hosts, in microseconds.
func (n *network) delay(from, to string) int64 {
	d := int64(inZoneDelayUs)
	if n.zones[from] != n.zones[to] {
		d = crossZoneDelayUs
	}
	return d + n.scheduler.Between(0, d/10+50)
}

// deliverAfter calls deliver after a delay, but not before earlier data of the same
// sender and receiver has arrived.
func (n *network) deliverAfter(from, to string, delayUs int64, deliver func()) {
	k := [2]string{from, to}
	atUs := max(n.scheduler.Now+delayUs, n.lastArrivalUs[k]+1)
	n.lastArrivalUs[k] = atUs
	n.scheduler.After(atUs-n.scheduler.Now, deliver)
}

// drawLoss draws whether a first transmission is lost.
func (n *network) drawLoss(from, to string) bool {
	return n.scheduler.Chance(max(n.lossy[n.zones[from]], n.lossy[n.zones[to]]))
}

// transmit delivers data of a stream in order. A loss delays it, and a partition delays
// it until its end.
func (n *network) transmit(from, to string, deliver func()) {
	if !n.reaches(from, to) {
		n.pending = append(n.pending, pendingDelivery{from, to, n.scheduler.Now, deliver})
		return
	}
	delayUs := n.delay(from, to)
	if n.drawLoss(from, to) {
		delayUs += n.scheduler.Between(200_000, 450_000)
	}
	n.deliverAfter(from, to, delayUs, func() {
		if !n.reaches(from, to) {
			n.pending = append(n.pending, pendingDelivery{from, to, n.scheduler.Now, deliver})
			return
		}
		deliver()
	})
}

// sortedPartitions returns the partitioned directions in order.
func sortedPartitions(m map[[2]string]int) [][2]string {
	var keys [][2]string
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int {
		if a[0] != b[0] {
			return strings.Compare(a[0], b[0])
		}
		return strings.Compare(a[1], b[1])
	})
	return keys
}
