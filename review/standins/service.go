package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Times of the databases, as in the small deployments of the pages.
const (
	receiveDelay = 3 * time.Millisecond  // from a commit until a replica has received it
	applyDelay   = 20 * time.Millisecond // from then until the replica has applied it
	promoteTime  = 600 * time.Millisecond
	runTime      = 3 * time.Millisecond
	// discoverTime is how long an old primary goes on after it can reach the new one.
	discoverTime = time.Second
)

// position is a position of a log.
type position struct {
	term, number int64
}

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// before reports whether p is an older position than q.
func (p position) before(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

// entry is one commit.
type entry struct {
	position
	committed time.Time
	writes    map[string]string
	stamp     string
}

// service is a replicated service: one leader and its followers. mu guards the state of
// all its databases.
type service struct {
	name      string
	world     *world
	mu        sync.Mutex
	changed   *sync.Cond
	databases []*database
	stamps    int64
	// onPromoted is called, with mu locked, when a promotion takes effect.
	onPromoted func(target *database)
}

// newService creates a service with one database in each zone; the first is the leader.
func (w *world) newService(name string, index int) *service {
	s := &service{name: name, world: w}
	s.changed = sync.NewCond(&s.mu)
	for i := range machineCount {
		d := &database{service: s, id: fmt.Sprintf("i-%s-%c", name, 'a'+rune(i)), zone: zoneName(i), leader: i == 0, term: 1,
			address: fmt.Sprintf("%s.%d.%d:%d", w.block, index+2, i+1, w.ports.base+25), receiveDelay: receiveDelay, applyDelay: applyDelay}
		s.databases = append(s.databases, d)
	}
	w.services[name] = s
	go s.replicate()
	return s
}

// all returns the databases of the service.
func (s *service) all() []*database { return slices.Clone(s.databases) }

// replicate sends the leader's log to the followers until the case ends.
func (s *service) replicate() {
	for s.world.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		if leader := s.newestLeader(); leader != nil {
			for _, d := range s.databases {
				d.receiveFrom(leader)
			}
		}
		s.changed.Broadcast()
		s.mu.Unlock()
	}
}

// newestLeader returns the running leader of the newest term, or nil if none runs.
func (s *service) newestLeader() *database {
	var newest *database
	for _, d := range s.databases {
		if d.running && d.leader && (newest == nil || d.term > newest.term) {
			newest = d
		}
	}
	return newest
}

// newestTerm returns the newest term of any database.
func (s *service) newestTerm() int64 {
	term := int64(0)
	for _, d := range s.databases {
		term = max(term, d.term)
	}
	return term
}

// receiveFrom copies the entries of the leader's log that a follower does not have yet. It
// first removes entries that are not in the leader's log, and makes an older leader a
// follower discoverTime after both run.
func (d *database) receiveFrom(leader *database) {
	if d == leader || !d.running || d.deaf || d.paused > leader.term {
		return
	}
	if d.leader {
		if d.term >= leader.term || time.Since(leader.leaderSince) < discoverTime || time.Since(d.startedAt) < discoverTime/4 {
			return
		}
		d.becomeFollower()
	}
	if d.term < leader.term {
		d.term, d.paused = leader.term, 0
	}
	common := min(len(d.log), len(leader.log))
	for common > 0 && d.log[common-1].position != leader.log[common-1].position {
		common--
	}
	if common < len(d.log) {
		d.service.world.record.add("%s cuts back %d commits", d.id, len(d.log)-common)
		d.log, d.applied = d.log[:common:common], min(d.applied, common)
	}
	for _, e := range leader.log[common:] {
		if time.Since(e.committed) < d.receiveDelay {
			return
		}
		d.log = append(d.log, e)
	}
}

// becomeFollower ends the role of a leader.
func (d *database) becomeFollower() {
	d.service.world.record.add("%s becomes a follower", d.id)
	d.leader = false
	d.applied = len(d.log)
	go d.heartbeat()
}

// receivedByReplica reports whether any follower of the leader has received an entry.
func (s *service) receivedByReplica(leader *database, e *entry) bool {
	return slices.ContainsFunc(s.databases, func(d *database) bool {
		n := int(e.number)
		return d != leader && d.running && !d.leader && len(d.log) >= n && d.log[n-1].position == e.position
	})
}

// promote makes a database the leader of the next term, after promoteTime. It returns the
// status of the platform's reply.
func (s *service) promote(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.databases, func(d *database) bool { return d.id == id && d.running })
	if i < 0 {
		return 409
	}
	target := s.databases[i]
	if target.leader && target.term == s.newestTerm() {
		return 200
	}
	time.AfterFunc(promoteTime, func() { s.promoted(target) })
	return 200
}

// promoted carries out a promotion.
func (s *service) promoted(target *database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !target.running || target.leader && target.term == s.newestTerm() {
		return
	}
	target.term, target.leader, target.paused, target.leaderSince = s.newestTerm()+1, true, 0, time.Now()
	target.applied = len(target.log)
	s.world.record.add("PROMOTED %s takes term %d with a log up to %v", target.id, target.term, target.received())
	if s.onPromoted != nil {
		s.onPromoted(target)
	}
	go target.heartbeat()
}
