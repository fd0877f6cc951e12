// Package duties gives each one-node duty a holder (design 9). A duty is a
// register; its holder names a successor when it can, and where it can't, any
// candidate takes the duty by a ballot among the voters' majority.
//
// Holding a duty is never what makes an act safe when an agreed register can
// do it; where it is (dividing permits), Exclusive is what counts, and it rests
// on each process's own monotonic clock alone.
package duties

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/schema"
	"stoneford/step"
)

const (
	lookEvery  = 500_000
	askTimeout = 2_000_000
	// LeaseUs is how long a holder may act after the start of the last look
	// that showed it as the holder.
	LeaseUs = 2_000_000
	// waitUs is how long a new holder waits for the one before to have ended:
	// the same time with a tenth for clocks that run at different rates.
	waitUs = LeaseUs * 11 / 10
)

type duty struct {
	key      string
	state    *schema.DutyState
	revision uint64
	known    bool
	next     int64
	asked    int64 // when the question under way was put, 0 if none is
	valid    int64 // this process holds it until
	since    int64 // this process has held it since
	open     int64 // since when it has had no living holder
	leaving  bool
	only     bool           // it was surely the only holder when it left
	told     *schema.Grants // what the successor is told
}

// mine says whether a state names this run of this process.
func (d *Duties) mine(u *duty) bool { return u.state.Holder == d.self && u.state.Run == d.run }

// Effects of a step.
type Effects struct {
	Changes []paxos.Change
	Taken   []string // duties this process now holds and did not before
}

// Duties is one candidate's view of all duties.
type Duties struct {
	self       string
	run        uint64
	candidates []string
	name       func() string // makes names for changes
	grants     func(key string, now int64) *schema.Grants
	m          map[string]*duty
	order      []string
	leaving    bool
}

// New makes a candidate; run is another for each start of the process, name
// must give a new name each time. grants is what a holder that leaves tells its
// successor of a duty; nil where there is nothing to tell.
func New(self string, run uint64, candidates []string, name func() string, grants func(key string, now int64) *schema.Grants) *Duties {
	return &Duties{self: self, run: run, candidates: candidates, name: name, grants: grants, m: map[string]*duty{}}
}

// Want names the duties there are.
func (d *Duties) Want(keys []string) {
	for _, k := range keys {
		if d.m[k] == nil {
			d.m[k] = &duty{key: k, state: &schema.DutyState{}}
			d.order = append(d.order, k)
		}
	}
	d.order = slices.DeleteFunc(d.order, func(k string) bool {
		if !slices.Contains(keys, k) {
			delete(d.m, k)
			return true
		}
		return false
	})
}

// Leave has this process hand its duties over.
func (d *Duties) Leave() { d.leaving = true }

// Acts says whether this process holds the duty, as far as it can know.
func (d *Duties) Acts(k string, now int64) bool {
	u := d.m[k]
	return u != nil && d.mine(u) && now < u.valid && !u.leaving
}

// Exclusive says whether surely no other process acts on the duty.
func (d *Duties) Exclusive(k string, now int64) bool {
	u := d.m[k]
	return d.Acts(k, now) && (u.state.Handed || u.state.Term == 1 || now >= u.since+waitUs)
}

// HeldUs is how long this process has held the duty, and its term.
func (d *Duties) HeldUs(k string, now int64) (int64, uint64) {
	if u := d.m[k]; u != nil {
		return now - u.since, u.state.Term
	}
	return 0, 0
}

// Grants is what the holder before told this one when it handed the duty over;
// nil if it did not.
func (d *Duties) Grants(k string) *schema.Grants {
	if u := d.m[k]; u != nil && d.mine(u) && u.state.Handed {
		return u.state.Grants
	}
	return nil
}

// Holder is the last holder seen.
func (d *Duties) Holder(k string) string {
	if u := d.m[k]; u != nil {
		return u.state.Holder
	}
	return ""
}

// Tick looks at the registers and takes what has no living holder. Ranked by
// the hash of duty and candidate, each waits a little longer than the one
// before it, so that mostly one of them tries.
func (d *Duties) Tick(now int64, alive func(string) bool) Effects {
	var fx Effects
	for _, k := range d.order {
		u := d.m[k]
		if u.asked > 0 {
			if now-u.asked > askTimeout+lookEvery {
				u.asked = 0
			}
			continue
		}
		if u.known && (u.state.Holder == "" || !d.mine(u) && (u.state.Holder == d.self || !alive(u.state.Holder))) && !d.leaving {
			if u.open == 0 {
				u.open = now
			}
			// One that was named takes the duty up in its own run; the holder
			// before it has stopped, and nobody has acted since.
			named := u.state.Holder == d.self && u.state.Handed && u.state.Run == 0
			if named || now-u.open >= d.rank(k, alive)*300_000 {
				s := &schema.DutyState{Holder: d.self, Run: d.run, Term: u.state.Term + 1, Handed: named}
				if named {
					s.Grants = u.state.Grants
				}
				d.put(&fx, now, u, s)
				continue
			}
		} else {
			u.open = 0
		}
		if d.leaving && d.mine(u) && u.known {
			if n := d.successor(k, alive); n != "" {
				if !u.leaving {
					// Handed on says that nobody acts any more: not so while the
					// holder before this one still may.
					u.only = d.Exclusive(k, now)
					if d.grants != nil && u.only {
						u.told = d.grants(k, now)
					}
				}
				u.leaving = true // from here on it gives nothing any more
				d.put(&fx, now, u, &schema.DutyState{Holder: n, Term: u.state.Term + 1, Handed: u.only, Grants: u.told})
				continue
			}
		}
		if now >= u.next {
			u.asked, u.next = now, now+lookEvery
			fx.Changes = append(fx.Changes, paxos.Change{Name: d.name(), Key: k, Read: true, Deadline: now + askTimeout})
		}
	}
	return fx
}

func (d *Duties) put(fx *Effects, now int64, u *duty, s *schema.DutyState) {
	b, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	u.asked, u.next, u.known = now, now+lookEvery, false
	fx.Changes = append(fx.Changes, paxos.Change{Name: d.name(), Key: u.key, Base: u.revision, Data: b, Deadline: now + askTimeout})
}

// Outcome takes the end of a change of this package.
func (d *Duties) Outcome(now int64, o paxos.Outcome) Effects {
	var fx Effects
	u := d.m[o.Change.Key]
	if u == nil {
		return fx
	}
	asked := u.asked
	u.asked = 0
	if o.Verdict != paxos.Agreed && o.Verdict != paxos.Lost {
		return fx
	}
	s := &schema.DutyState{}
	if err := proto.Unmarshal(o.Value.GetData(), s); err != nil {
		return fx
	}
	if o.Value.GetRevision() < u.revision {
		return fx
	}
	was := d.mine(u) && u.state.Term == s.Term
	u.state, u.revision, u.known = s, o.Value.GetRevision(), true
	if d.mine(u) && asked > 0 {
		if !was {
			u.since = now
			fx.Taken = append(fx.Taken, u.key)
		}
		u.valid = asked + LeaseUs
	}
	return fx
}

// rank counts the living candidates ahead of this one.
func (d *Duties) rank(k string, alive func(string) bool) int64 {
	n := int64(0)
	for _, c := range step.Rank(k, d.candidates) {
		if c == d.self {
			break
		}
		if alive(c) {
			n++
		}
	}
	return n
}

func (d *Duties) successor(k string, alive func(string) bool) string {
	for _, c := range step.Rank(k, d.candidates) {
		if c != d.self && alive(c) {
			return c
		}
	}
	return ""
}
