package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// version is one revision of the routing table as an operator sent it.
type version struct {
	revision, base uint64
	services       map[string]string // of each name
	invalid        bool
	sent           time.Time
	acked          time.Time // zero while it is not acknowledged
	refused        bool      // for good
}

// history is everything that operators sent, and the violations that were seen.
type history struct {
	mu         sync.Mutex
	versions   map[uint64]*version
	names      []string // ever used
	violations []string
	counts     counts
}

// counts are the totals of a run, by the names of the report.
type counts struct {
	Sent         int `json:"Sent"`
	Acknowledged int `json:"Acknowledged"`
	Refused      int `json:"Refused"`
	Answers      int `json:"Answers"`
	Served       int `json:"Served"`
	Unknown      int `json:"Unknown"`
	Busy         int `json:"Busy"`
	Unresponsive int `json:"Silent"` // sessions without a reply
	Reads        int `json:"Reads"`
	Undecided    int `json:"Unsure"` // reads that a process did not answer
	Faults       int `json:"Troubles"`
}

func newHistory() *history {
	return &history{versions: map[uint64]*version{0: {services: map[string]string{}}}}
}

// violate records a violation. The caller holds the lock.
func (h *history) violate(format string, a ...any) {
	if len(h.violations) < 20 {
		h.violations = append(h.violations, fmt.Sprintf("%s: ", time.Now().UTC().Format("15:04:05.000"))+fmt.Sprintf(format, a...))
	}
}

// count adds to a total.
func (h *history) count(add func(c *counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	add(&h.counts)
}

// send records a version before it is sent.
func (h *history) send(v *version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.sent = time.Now()
	h.versions[v.revision] = v
	h.counts.Sent++
	for name := range v.services {
		if !slices.Contains(h.names, name) {
			h.names = append(h.names, name)
		}
	}
}

// acknowledged records that a version was acknowledged.
func (h *history) acknowledged(v *version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.invalid {
		h.violate("revision %d, which is invalid, was acknowledged", v.revision)
	}
	if v.refused {
		h.violate("revision %d was refused and then acknowledged", v.revision)
	}
	for _, o := range h.versions {
		if o != v && o.base == v.base && !o.acked.IsZero() && o.revision > 0 {
			h.violate("revisions %d and %d, both on %d, were acknowledged", o.revision, v.revision, v.base)
		}
	}
	if v.acked.IsZero() {
		v.acked = time.Now()
		h.counts.Acknowledged++
	}
}

// refuse records that a version was refused for good.
func (h *history) refuse(v *version, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !v.acked.IsZero() {
		h.violate("revision %d was acknowledged and is refused with %d", v.revision, status)
	}
	v.refused = true
	h.counts.Refused++
}

// newest is the newest version acknowledged before a moment, the empty table if there is
// none.
func (h *history) newest(before time.Time) *version {
	newest := h.versions[0]
	for _, v := range h.versions {
		if !v.acked.IsZero() && v.acked.Before(before) && v.revision > newest.revision {
			newest = v
		}
	}
	return newest
}

// possible are the versions that may be in force, from a revision on, in order.
func (h *history) possible(from uint64, sentBefore time.Time) []*version {
	var out []*version
	for _, revision := range slices.Sorted(maps.Keys(h.versions)) {
		v := h.versions[revision]
		if revision >= from && !v.refused && !v.invalid && (revision == 0 || v.sent.Before(sentBefore)) {
			out = append(out, v)
		}
	}
	return out
}

// seen checks a node's reply about a name: it handled the name, at sentAt or later, as the
// service says, which is empty if the name is unknown to it. Floor is the oldest version that
// the node can work by. The result is the oldest one that it can work by from now on.
func (h *history) seen(node, name, service string, sentAt time.Time, floor uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newest(sentAt.Add(-applyTime))
	for _, v := range h.possible(max(floor, newest.revision), time.Now()) {
		if v.services[name] == service || service == anyService && v.services[name] != "" {
			return v.revision
		}
	}
	h.violate("%s handled %s as %q; version %d was acknowledged %v before, and it worked by %d or newer", node, name, service,
		newest.revision, sentAt.Sub(newest.acked).Round(time.Millisecond), floor)
	return floor
}

// read checks a table that a process returned.
func (h *history) read(from string, revision uint64, services map[string]string, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Reads++
	v := h.versions[revision]
	newest := h.newest(sentAt)
	switch {
	case v == nil:
		h.violate("%s handed out revision %d, which nobody sent", from, revision)
	case v.refused || v.invalid:
		h.violate("%s handed out revision %d, which was refused", from, revision)
	case revision < newest.revision:
		h.violate("%s handed out revision %d; %d had been acknowledged %v before", from, revision, newest.revision, sentAt.Sub(newest.acked).Round(time.Millisecond))
	case !maps.Equal(v.services, services):
		h.violate("%s handed out revision %d with another content", from, revision)
	}
}
