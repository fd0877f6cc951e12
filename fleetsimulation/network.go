package fleetsimulation

import (
	"slices"
	"strings"
)

// network carries whatever goes between hosts. Ways are ordered, as TCP's are;
// a way that is cut holds what was put on it until it is mended.
type network struct {
	w     *World
	zones map[string]string  // of each host
	lossy map[string]float64 // by zone: share of what is lost at the first sending
	cuts  map[[2]string]int
	last  map[[2]string]int64 // newest arrival on a way
	held  []heldUp
	ails  map[string]int64 // when a host was last troubled by a cut or loss
}

type heldUp struct {
	from, to string
	at       int64
	f        func()
}

const (
	inZoneUs   = 200
	acrossUs   = 8_000
	toCallerUs = 1_000
)

func newNetwork(w *World) *network {
	return &network{w: w, zones: map[string]string{}, lossy: map[string]float64{}, cuts: map[[2]string]int{}, last: map[[2]string]int64{}, ails: map[string]int64{}}
}

// reaches says whether one direction works.
func (n *network) reaches(from, to string) bool { return n.cuts[[2]string{from, to}] == 0 }

// both says whether both directions work.
func (n *network) both(a, b string) bool { return n.reaches(a, b) && n.reaches(b, a) }

// cut breaks one direction once more; mend takes one such cut back.
func (n *network) cut(from, to string) {
	if from != to {
		n.cuts[[2]string{from, to}]++
	}
}

func (n *network) mend(from, to string) {
	k := [2]string{from, to}
	if n.cuts[k] == 0 {
		return
	}
	n.cuts[k]--
	if n.cuts[k] > 0 {
		return
	}
	delete(n.cuts, k)
	n.held = slices.DeleteFunc(n.held, func(h heldUp) bool {
		if h.from == from && h.to == to {
			// Sent again when its sender's timer rings next.
			n.arrive(from, to, n.w.Between(1_000, 600_000), h.f)
			return true
		}
		return false
	})
}

// troubled says whether any way from or to a host is cut or loses.
func (n *network) troubled(host string) bool {
	for k := range n.cuts {
		if k[0] == host || k[1] == host {
			return true
		}
	}
	return n.lossy[n.zones[host]] > 0
}

func (n *network) delay(from, to string) int64 {
	d := int64(inZoneUs)
	if n.zones[from] != n.zones[to] {
		d = acrossUs
	}
	return d + n.w.Between(0, d/10+50)
}

// arrive has f run after a delay, and not before what is on the way already.
func (n *network) arrive(from, to string, d int64, f func()) {
	k := [2]string{from, to}
	at := max(n.w.Now+d, n.last[k]+1)
	n.last[k] = at
	n.w.After(at-n.w.Now, f)
}

// loses draws whether something is lost at its first sending.
func (n *network) loses(from, to string) bool {
	return n.w.Chance(max(n.lossy[n.zones[from]], n.lossy[n.zones[to]]))
}

// carry takes bytes of a stream: they arrive in order, however late. A cut holds
// them up.
func (n *network) carry(from, to string, f func()) {
	if !n.reaches(from, to) {
		n.held = append(n.held, heldUp{from, to, n.w.Now, f})
		return
	}
	d := n.delay(from, to)
	if n.loses(from, to) {
		d += n.w.Between(200_000, 450_000)
	}
	n.arrive(from, to, d, func() {
		if !n.reaches(from, to) {
			n.held = append(n.held, heldUp{from, to, n.w.Now, f})
			return
		}
		f()
	})
}

func sortedCuts(m map[[2]string]int) [][2]string {
	var ks [][2]string
	for k := range m {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b [2]string) int {
		if a[0] != b[0] {
			return strings.Compare(a[0], b[0])
		}
		return strings.Compare(a[1], b[1])
	})
	return ks
}
