package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// version is a revision of the routing table that an operator sent.
type version struct {
	revision, base uint64
	serviceByHost  map[string]string // service of each route, by the route's host
	invalid        bool
	sentAt         time.Time
	ackedAt        time.Time // zero if it is not acknowledged
	refused        bool      // an operator received a final error
}

// history records all versions that operators sent, and the violations that were detected.
type history struct {
	mu         sync.Mutex
	versions   map[uint64]*version
	hosts      []string // all hosts of any version
	violations []string
	counts     counts
}

// counts holds the totals of a run. The JSON names are those of the report.
type counts struct {
	Sent           int `json:"Sent"`
	Acknowledged   int `json:"Acknowledged"`
	Refused        int `json:"Refused"`
	Answers        int `json:"Answers"`
	Served         int `json:"Served"`
	Unknown        int `json:"Unknown"`
	Busy           int `json:"Busy"`
	Unresponsive   int `json:"Silent"` // sessions that failed without a reply
	Reads          int `json:"Reads"`
	FailedReads    int `json:"Unsure"` // table reads with an error status or an invalid body
	Faults         int `json:"Troubles"`
	Writes         int `json:"Writes"`         // acknowledged to sessions
	SessionReads   int `json:"SessionReads"`   // answered to sessions
	BrokenSessions int `json:"BrokenSessions"` // sessions that ended while they waited for an answer
	Departures     int `json:"Departures"`     // databases that were acknowledged as leaving
}

func newHistory() *history {
	return &history{versions: map[uint64]*version{0: {serviceByHost: map[string]string{}}}}
}

// addViolation records a violation, up to a limit of 20. The caller holds mu.
func (h *history) addViolation(format string, a ...any) {
	if len(h.violations) < 20 {
		h.violations = append(h.violations, fmt.Sprintf("%s: ", time.Now().UTC().Format("15:04:05.000"))+fmt.Sprintf(format, a...))
	}
}

// recordViolation records a violation. The caller does not hold mu.
func (h *history) recordViolation(format string, a ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolation(format, a...)
}

// count calls add to update the totals.
func (h *history) count(add func(c *counts)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	add(&h.counts)
}

// recordSent records a version. It is called before the version is sent.
func (h *history) recordSent(v *version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v.sentAt = time.Now()
	h.versions[v.revision] = v
	h.counts.Sent++
	for name := range v.serviceByHost {
		if !slices.Contains(h.hosts, name) {
			h.hosts = append(h.hosts, name)
		}
	}
}

// recordAcknowledged records that a version was acknowledged. It is a violation if the version
// is invalid, was refused before, or has the same base as another acknowledged version.
func (h *history) recordAcknowledged(v *version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.invalid {
		h.addViolation("invalid revision %d was acknowledged", v.revision)
	}
	if v.refused {
		h.addViolation("revision %d was refused and then acknowledged", v.revision)
	}
	for _, o := range h.versions {
		if o != v && o.base == v.base && !o.ackedAt.IsZero() && o.revision > 0 {
			h.addViolation("revisions %d and %d, both based on %d, were acknowledged", o.revision, v.revision, v.base)
		}
	}
	if v.ackedAt.IsZero() {
		v.ackedAt = time.Now()
		h.counts.Acknowledged++
	}
}

// recordRefused records that a version got a final error. It is a violation if the version was
// acknowledged before.
func (h *history) recordRefused(v *version, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !v.ackedAt.IsZero() {
		h.addViolation("revision %d was acknowledged and then refused with status %d", v.revision, status)
	}
	v.refused = true
	h.counts.Refused++
}

// newestAcknowledged returns the newest version that was acknowledged before a time, or the
// empty table if there is none. The caller holds mu.
func (h *history) newestAcknowledged(before time.Time) *version {
	newest := h.versions[0]
	for _, v := range h.versions {
		if !v.ackedAt.IsZero() && v.ackedAt.Before(before) && v.revision > newest.revision {
			newest = v
		}
	}
	return newest
}

// possibleVersions returns the versions that may be in force, in the order of their revisions.
// They were sent before a time, are neither refused nor invalid, and do not precede the
// revision from. The caller holds mu.
func (h *history) possibleVersions(from uint64, sentBefore time.Time) []*version {
	var out []*version
	for _, revision := range slices.Sorted(maps.Keys(h.versions)) {
		v := h.versions[revision]
		if revision >= from && !v.refused && !v.invalid && (revision == 0 || v.sentAt.Before(sentBefore)) {
			out = append(out, v)
		}
	}
	return out
}

// checkNodeReply checks that a node's reply for a host agrees with a version that may be in
// force on the node. The node sent the reply after sentAt, and routed the host to the service,
// which is empty if it did not know the host. MinRevision is the oldest revision that the node
// may use; checkNodeReply returns the oldest one that it may use after this reply.
func (h *history) checkNodeReply(node, host, service string, sentAt time.Time, minRevision uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := h.newestAcknowledged(sentAt.Add(-maxApplyTime))
	for _, v := range h.possibleVersions(max(minRevision, newest.revision), time.Now()) {
		if v.serviceByHost[host] == service || service == anyService && v.serviceByHost[host] != "" {
			return v.revision
		}
	}
	h.addViolation("%s routed host %s to service %q; revision %d was acknowledged %v before, and the node had used revision %d or newer", node, host, service,
		newest.revision, sentAt.Sub(newest.ackedAt).Round(time.Millisecond), minRevision)
	return minRevision
}

// checkTable checks that a table returned by a process was sent by an operator, was not refused,
// and is not older than the newest version acknowledged at sentAt.
func (h *history) checkTable(from string, revision uint64, serviceByHost map[string]string, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Reads++
	v := h.versions[revision]
	newest := h.newestAcknowledged(sentAt)
	switch {
	case v == nil:
		h.addViolation("%s returned revision %d, which no operator sent", from, revision)
	case v.refused || v.invalid:
		h.addViolation("%s returned revision %d, which was refused or is invalid", from, revision)
	case revision < newest.revision:
		h.addViolation("%s returned revision %d; revision %d was acknowledged %v before the read", from, revision, newest.revision, sentAt.Sub(newest.ackedAt).Round(time.Millisecond))
	case !maps.Equal(v.serviceByHost, serviceByHost):
		h.addViolation("%s returned revision %d with routes that differ from those sent", from, revision)
	}
}
