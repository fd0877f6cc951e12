package main

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// networkDelay is the time after which a replica receives a commit, and applyDelay the
	// time after which it also applies it.
	networkDelay = 2 * time.Millisecond
	applyDelay   = 20 * time.Millisecond
	// promotionDelay is the time from the platform's call to the new term.
	promotionDelay = 600 * time.Millisecond
	// followDelay is the time after which a former primary that can reach the new one
	// follows it.
	followDelay = time.Second
)

// commit is one entry of a log. Its number is its index in the log plus 1.
type commit struct {
	statements []string // IDs of its writes
	at         time.Time
}

// group is one service: a primary and its replicas, with asynchronous replication of which
// one replica has to receive a commit before the commit is answered.
type group struct {
	name    string
	mu      sync.Mutex
	members []*database
	runs    map[string]string // ID of a write to the database that committed it
	reads   map[string]bool   // IDs of the reads that a database ran
	readMs  atomic.Int64      // run time of a read
}

// database is one stand-in of a database. The group's mu guards its fields.
type database struct {
	id, zone, address string
	group             *group
	up                bool // false after a crash
	dark              bool // it runs no more and answers nothing
	deaf              bool // it receives no commits
	primary           bool
	term              uint64
	frozenTerm        uint64
	log               []*commit
	applied           int
	newerSince        time.Time // when it, as a primary, first reached one of a later term
	seq               uint64
	announcedTo       string // address that took its last announcement
	departed          bool   // it announces itself no more
	draining          bool
	// drainAcknowledgedAt is when its announcement that it drains was acknowledged.
	drainAcknowledgedAt time.Time
	stamps              int
	readAt              []time.Time // when each read reached it
	server              *databaseServer
	wake                chan struct{} // sends an announcement at once
}

func (d *database) running() bool { return d.up && !d.dark }

// leaderOf returns the running primary with the highest term, or nil.
func (g *group) leaderOf() *database {
	var best *database
	for _, d := range g.members {
		if d.running() && d.primary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// replicate runs until the channel is closed.
func (g *group) replicate(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
		g.mu.Lock()
		g.replicateOnce(time.Now())
		g.mu.Unlock()
	}
}

func (g *group) replicateOnce(now time.Time) {
	leader := g.leaderOf()
	for _, d := range g.members {
		if leader == nil || d == leader || !d.running() {
			continue
		}
		if d.primary {
			g.followNewer(d, now)
			continue
		}
		if !d.deaf && d.frozenTerm == 0 && leader.term >= d.term {
			d.receive(leader, now)
		}
		for d.applied < len(d.log) && now.Sub(d.log[d.applied].at) >= applyDelay {
			d.applied++
		}
	}
	if leader != nil {
		leader.applied = len(leader.log)
	}
}

// followNewer makes a former primary a replica a second after it can reach the new one.
func (g *group) followNewer(d *database, now time.Time) {
	if d.newerSince.IsZero() {
		d.newerSince = now
	}
	if now.Sub(d.newerSince) >= followDelay {
		d.demote()
	}
}

func (d *database) demote() {
	d.primary, d.newerSince = false, time.Time{}
	record.logf("database %s is a replica now", d.id)
	d.wakeUp()
}

// receive takes over the leader's log, and drops what the leader does not have.
func (d *database) receive(leader *database, now time.Time) {
	same := 0
	for same < len(d.log) && same < len(leader.log) && d.log[same] == leader.log[same] {
		same++
	}
	if same < len(d.log) {
		record.logf("database %s drops %d commits that %s does not have", d.id, len(d.log)-same, leader.id)
		d.log = d.log[:same]
		d.applied = min(d.applied, same)
	}
	d.term = leader.term
	for len(d.log) < len(leader.log) && now.Sub(leader.log[len(d.log)].at) >= networkDelay {
		d.log = append(d.log, leader.log[len(d.log)])
	}
}

// append commits writes at a primary and waits until a replica has received the commit. It
// returns false if the database crashed meanwhile.
func (d *database) append(statements []string) bool {
	g := d.group
	g.mu.Lock()
	entry := &commit{statements: statements, at: time.Now()}
	d.log = append(d.log, entry)
	number := len(d.log)
	for _, id := range statements {
		g.runs[id] = d.id
	}
	g.mu.Unlock()
	for {
		time.Sleep(500 * time.Microsecond)
		g.mu.Lock()
		ok, received := d.running(), false
		for _, other := range g.members {
			if other != d && other.running() && len(other.log) >= number && other.log[number-1] == entry {
				received = true
			}
		}
		g.mu.Unlock()
		if !ok || received {
			return ok
		}
	}
}

// promote makes a database the primary of the next term, with the log that it has received.
func (g *group) promote(d *database) {
	time.Sleep(promotionDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !d.running() || d.primary {
		return
	}
	term := uint64(0)
	for _, other := range g.members {
		term = max(term, other.term, other.frozenTerm)
	}
	d.primary, d.term, d.frozenTerm, d.deaf = true, term+1, 0, false
	record.logf("database %s is the primary of term %d with %d commits", d.id, d.term, len(d.log))
	for _, other := range g.members {
		if !other.primary {
			other.frozenTerm = 0
		}
	}
	d.wakeUp()
}

// crash ends a database's process; its log stays.
func (d *database) crash() {
	d.group.mu.Lock()
	d.up, d.frozenTerm = false, 0
	record.logf("database %s crashes with %d commits", d.id, len(d.log))
	d.group.mu.Unlock()
	d.server.stop()
}

// setDark makes a database's machine lose its power or return: it answers nothing.
func (d *database) setDark(dark bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dark = dark
	if !dark {
		d.frozenTerm = 0
	}
	record.logf("database %s: dark %t, with %d commits", d.id, dark, len(d.log))
}

// setDeaf makes a replica receive nothing for a while.
func (d *database) setDeaf(deaf bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.deaf = deaf
	record.logf("database %s: receives nothing %t, with %d commits", d.id, deaf, len(d.log))
}

// lacks returns those of the acknowledged writes that are not in the database's log.
func (d *database) lacks(acknowledged []string) []string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	var missing []string
	for _, id := range acknowledged {
		if !slices.ContainsFunc(d.log, func(c *commit) bool { return slices.Contains(c.statements, id) }) {
			missing = append(missing, id)
		}
	}
	return missing
}

func (d *database) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
