// Package ballots keeps registers that a majority of voters agrees on, with no
// standing leader (design 3). Each key is a register of its own; each of its
// revisions is made by one round of ballots that any proposer may hold.
//
// Voter and Proposer are deterministic cores. What a Voter puts into
// Effects.Log has to be on disk, synced, before Effects.Send may leave.
package ballots

import (
	"maps"
	"math"
	"slices"

	"stoneford/schema"
	"stoneford/step"
)

// keptChanges is how many change names a value carries, so that a proposer
// that lost sight of its change can still find it in later revisions.
const keptChanges = 16

// joinEvery is how long an unformed voter waits between two joins.
const joinEvery = 200_000

// Effects is what a step asks of its edge.
type Effects struct {
	Log    []*schema.VoterLog // to sync first
	Send   []step.Send        // to send then
	Chosen []string           // keys whose cell changed here
}

type cell struct {
	promised schema.Ballot
	accepted schema.Ballot
	value    *schema.Value
}

// Voter is one voter's half of the ballots. One whose voters are not known yet,
// or that is not among them, takes no part.
type Voter struct {
	self      string
	voters    []string
	told      bool // the voters are on disk
	nonce     uint32
	cells     map[string]*cell
	standings map[string]uint64
	roster    map[string]uint64
	formed    bool
	joined    map[string]*schema.JoinReturn
	nextJoin  int64
}

// NewVoter makes a voter with an empty disk; nonce tells this disk's life from
// any other and must be random.
func NewVoter(self string, voters []string, nonce uint32) *Voter {
	return &Voter{self: self, voters: slices.Clone(voters), nonce: nonce, cells: map[string]*cell{},
		standings: map[string]uint64{}, roster: map[string]uint64{}, joined: map[string]*schema.JoinReturn{}}
}

// SetVoters tells a voter that has not formed who the voters are. They are the
// same for good: nothing is done where they are known.
func (v *Voter) SetVoters(voters []string) {
	if len(v.voters) == 0 {
		v.voters = slices.Clone(voters)
	}
}

// Voters are the voters as far as they are known.
func (v *Voter) Voters() []string { return slices.Clone(v.voters) }

// Restored says whether the log held anything of this voter's.
func (v *Voter) Restored() bool { return v.formed || v.standings[v.self] != 0 }

// Formed says whether this voter votes.
func (v *Voter) Formed() bool { return v.formed }

// Restore plays one entry of the log back; entries come in the order written.
func (v *Voter) Restore(l *schema.VoterLog) {
	if l.Snapshot {
		v.cells, v.standings, v.roster = map[string]*cell{}, map[string]uint64{}, map[string]uint64{}
		v.formed = false
	}
	if l.Founding != nil && !l.Snapshot {
		return // another voter's
	}
	for _, c := range l.Cells {
		v.cells[c.Key] = &cell{promised: ballot(c.Promised), accepted: ballot(c.Accepted), value: c.Value}
	}
	raise(v.standings, l.Standings)
	raise(v.roster, l.Roster)
	v.formed = v.formed || l.Formed
	if len(l.Voters) > 0 {
		v.voters, v.told = slices.Clone(l.Voters), true
	} else if len(l.Roster) > 0 && !v.told {
		v.voters = slices.Sorted(maps.Keys(v.roster)) // whoever it was formed with
	}
}

// Snapshot is the whole state as one log entry.
func (v *Voter) Snapshot() *schema.VoterLog {
	return &schema.VoterLog{Snapshot: true, Cells: v.allCells(), Standings: standings(v.standings),
		Roster: standings(v.roster), Formed: v.formed, Voters: slices.Clone(v.voters)}
}

// Values is what this voter has accepted, by key: not known to be chosen.
func (v *Voter) Values() map[string]*schema.Value {
	m := make(map[string]*schema.Value, len(v.cells))
	for k, c := range v.cells {
		if c.value != nil {
			m[k] = c.value
		}
	}
	return m
}

// Tick lets an unformed voter go on with joining.
func (v *Voter) Tick(now int64) Effects {
	var fx Effects
	if v.formed || now < v.nextJoin || !v.member() {
		return fx
	}
	v.nextJoin = now + joinEvery
	if v.standings[v.self] == 0 {
		v.setGeneration(&fx, 1)
		fx.Log[0].Voters, v.told = slices.Clone(v.voters), true
	}
	good := v.counted()
	for _, o := range v.others() {
		if r := v.joined[o]; r == nil || !r.Formed || !slices.Contains(good, o) {
			v.send(&fx, o, v.joinOf())
		}
	}
	if len(v.voters) == 1 {
		v.form(&fx)
	}
	return fx
}

func (v *Voter) member() bool { return slices.Contains(v.voters, v.self) }

func (v *Voter) joinOf() *schema.Envelope {
	return &schema.Envelope{Body: &schema.Envelope_Join{Join: &schema.Join{Generation: v.standings[v.self]}}}
}

// setGeneration takes the count with this disk's nonce behind it.
func (v *Voter) setGeneration(fx *Effects, n uint64) {
	v.standings[v.self] = n<<32 | uint64(v.nonce)
	v.joined = map[string]*schema.JoinReturn{}
	fx.Log = append(fx.Log, &schema.VoterLog{Standings: standings(map[string]uint64{v.self: v.standings[v.self]})})
}

// Step takes one envelope of a neighbour, or of this process's own proposer.
func (v *Voter) Step(now int64, e *schema.Envelope) Effects {
	var fx Effects
	switch b := e.Body.(type) {
	case *schema.Envelope_Prepare:
		v.prepare(&fx, e.From, b.Prepare)
	case *schema.Envelope_Accept:
		v.accept(&fx, e.From, b.Accept)
	case *schema.Envelope_Join:
		v.join(&fx, e.From, b.Join)
	case *schema.Envelope_JoinReturn:
		v.joinReturn(&fx, e.From, b.JoinReturn)
	case *schema.Envelope_LookReturn:
		if slices.Contains(v.others(), e.From) {
			v.outrun(&fx, b.LookReturn.Standings)
		}
	}
	return fx
}

func (v *Voter) prepare(fx *Effects, from string, m *schema.Prepare) {
	if !v.formed {
		return
	}
	c := v.at(m.Key)
	r := &schema.Promise{Key: m.Key, Attempt: m.Attempt}
	if m.Ballot == nil {
		r.Given = true // a look
	} else if less(&c.promised, m.Ballot) {
		c.promised = ballot(m.Ballot)
		r.Given = true
		fx.Log = append(fx.Log, v.logCell(m.Key))
	}
	r.Promised, r.Accepted, r.Value = copyBallot(&c.promised), copyBallot(&c.accepted), c.value
	if m.Have != nil && c.value != nil && Same(m.Have, &c.accepted) {
		r.Value, r.Same = nil, true
	}
	r.Standings = standings(v.standings)
	v.send(fx, from, &schema.Envelope{Body: &schema.Envelope_Promise{Promise: r}})
}

func (v *Voter) accept(fx *Effects, from string, m *schema.Accept) {
	if !v.formed {
		return
	}
	c := v.at(m.Key)
	r := &schema.Accepted{Key: m.Key, Attempt: m.Attempt}
	// A promise given by a disk since lost no longer binds anyone, so what
	// rests on it is not accepted (design 3.3).
	stale := slices.ContainsFunc(m.PromisedBy, func(s *schema.Standing) bool { return s.Generation < v.standings[s.Voter] })
	if !stale && !less(m.Ballot, &c.promised) {
		c.promised, c.accepted, c.value = ballot(m.Ballot), ballot(m.Ballot), m.Value
		r.Given = true
		fx.Log = append(fx.Log, v.logCell(m.Key))
		fx.Chosen = append(fx.Chosen, m.Key)
	}
	r.Promised = copyBallot(&c.promised)
	r.Standings = standings(v.standings)
	v.send(fx, from, &schema.Envelope{Body: &schema.Envelope_Accepted{Accepted: r}})
}

func (v *Voter) join(fx *Effects, from string, m *schema.Join) {
	if !slices.Contains(v.voters, from) || from == v.self || v.standings[v.self] == 0 {
		return // not yet a life of its own to speak of
	}
	r := &schema.JoinReturn{Generation: m.Generation, Formed: v.formed}
	known := v.standings[from]
	if m.Generation == known || m.Generation>>32 > known>>32 {
		if m.Generation != known {
			v.standings[from] = m.Generation
			fx.Log = append(fx.Log, &schema.VoterLog{Standings: standings(map[string]uint64{from: m.Generation})})
			if !v.formed {
				v.nextJoin = 0 // who starts beside this one has not heard its join
			}
		}
		r.Given, r.Cells = true, v.allCells()
	}
	r.Standings, r.Roster = standings(v.standings), standings(v.roster)
	v.send(fx, from, &schema.Envelope{Body: &schema.Envelope_JoinReturn{JoinReturn: r}})
}

func (v *Voter) joinReturn(fx *Effects, from string, m *schema.JoinReturn) {
	if m.Generation != v.standings[v.self] || !slices.Contains(v.others(), from) {
		return
	}
	if !m.Given {
		v.outrun(fx, m.Standings)
		return
	}
	if v.formed {
		return
	}
	v.joined[from] = m
	if v.mayForm() {
		v.form(fx)
	}
}

// outrun: somebody knows a later generation of this voter, of a life that was
// lost while it joined. Words of this one would not count there, so it takes a
// generation above that and joins anew, with all that it holds.
func (v *Voter) outrun(fx *Effects, ss []*schema.Standing) {
	g := v.standings[v.self]
	k := own(v.self, ss)
	if g == 0 || k == g || k>>32 < g>>32 {
		return
	}
	if v.formed {
		v.formed = false
		fx.Log = append(fx.Log, v.Snapshot())
	}
	v.setGeneration(fx, max(k, g)>>32+1)
	v.nextJoin = 0
}

// form: enough others have this disk's generation on record, and what they held
// after recording it is copied; from here on this voter can be counted again.
func (v *Voter) form(fx *Effects) {
	for _, o := range v.counted() {
		r := v.joined[o]
		raise(v.standings, r.Standings)
		raise(v.roster, r.Roster)
		for _, c := range r.Cells {
			h := v.at(c.Key)
			if less(&h.promised, c.Promised) {
				h.promised = ballot(c.Promised)
			}
			if less(&h.accepted, c.Accepted) {
				h.accepted, h.value = ballot(c.Accepted), c.Value
				fx.Chosen = append(fx.Chosen, c.Key)
			}
		}
	}
	if len(v.roster) == 0 {
		v.roster = maps.Clone(v.standings)
	}
	v.formed, v.joined = true, map[string]*schema.JoinReturn{}
	fx.Log = append(fx.Log, v.Snapshot())
}

// counted are the others whose return to this voter's join counts: none that
// another return, or this voter, knows to be of a life that is over.
func (v *Voter) counted() []string {
	rs := make(map[string]word, len(v.joined)+1)
	for o, r := range v.joined {
		rs[o] = r.Standings
	}
	rs[v.self] = standings(v.standings)
	return slices.DeleteFunc(counted(rs), func(o string) bool { return o == v.self })
}

// mayForm (design 3.3, 3.4): a majority, this voter aside, has its generation on
// record and either votes or is on the very disk it was formed with, and so
// never voted in another life; or all others have it on record and none ever
// voted.
func (v *Voter) mayForm() bool {
	good := v.counted()
	var roster map[string]uint64
	same := true
	for _, o := range good {
		r := v.joined[o]
		if !r.Formed {
			continue
		}
		if roster == nil {
			roster = map[string]uint64{}
			raise(roster, r.Roster)
		}
		for _, s := range r.Roster {
			same = same && roster[s.Voter] == s.Generation
		}
	}
	if roster == nil {
		return len(good) == len(v.voters)-1 && v.agreedStandings(good)
	}
	n := 0
	for _, o := range good {
		r := v.joined[o]
		if r.Formed || same && roster[o] != 0 && own(o, r.Standings) == roster[o] {
			n++
		}
	}
	return n >= min(len(v.voters)/2+1, len(v.voters)-1)
}

// agreedStandings: all of those who start together know the same generation of
// each, so that the roster they form with is one and the same.
func (v *Voter) agreedStandings(good []string) bool {
	for _, o := range v.voters {
		g := v.standings[o]
		if g == 0 {
			return false
		}
		for _, p := range good {
			if own(o, v.joined[p].Standings) != g {
				return false
			}
		}
	}
	return true
}

func (v *Voter) at(k string) *cell {
	c := v.cells[k]
	if c == nil {
		c = &cell{}
		v.cells[k] = c
	}
	return c
}

func (v *Voter) others() []string {
	return slices.DeleteFunc(slices.Clone(v.voters), func(o string) bool { return o == v.self })
}

func (v *Voter) send(fx *Effects, to string, e *schema.Envelope) {
	e.From = v.self
	fx.Send = append(fx.Send, step.Send{To: to, Env: e})
}

func (v *Voter) logCell(k string) *schema.VoterLog {
	return &schema.VoterLog{Cells: []*schema.Cell{v.wire(k)}}
}

func (v *Voter) wire(k string) *schema.Cell {
	c := v.cells[k]
	return &schema.Cell{Key: k, Promised: copyBallot(&c.promised), Accepted: copyBallot(&c.accepted), Value: c.value}
}

func (v *Voter) allCells() []*schema.Cell {
	var cs []*schema.Cell
	for _, k := range slices.Sorted(maps.Keys(v.cells)) {
		cs = append(cs, v.wire(k))
	}
	return cs
}

func less(a, b *schema.Ballot) bool {
	if a.GetRound() != b.GetRound() {
		return a.GetRound() < b.GetRound()
	}
	return a.GetProposer() < b.GetProposer()
}

func ballot(b *schema.Ballot) schema.Ballot {
	return schema.Ballot{Round: b.GetRound(), Proposer: b.GetProposer()}
}

func copyBallot(b *schema.Ballot) *schema.Ballot {
	return &schema.Ballot{Round: b.Round, Proposer: b.Proposer}
}

func standings(m map[string]uint64) []*schema.Standing {
	var ss []*schema.Standing
	for _, k := range slices.Sorted(maps.Keys(m)) {
		ss = append(ss, &schema.Standing{Voter: k, Generation: m[k]})
	}
	return ss
}

func raise(m map[string]uint64, ss []*schema.Standing) {
	for _, s := range ss {
		m[s.Voter] = max(m[s.Voter], s.Generation)
	}
}

// Due is when Tick has something to do next, math.MaxInt64 for never.
func (v *Voter) Due() int64 {
	if v.formed || !v.member() {
		return math.MaxInt64
	}
	return v.nextJoin
}

// Cell is what this voter accepted of a key, nil if nothing.
func (v *Voter) Cell(k string) *schema.Cell {
	if c := v.cells[k]; c == nil || c.value == nil {
		return nil
	}
	return v.wire(k)
}

// Keys are the keys of which this voter accepted something, in order.
func (v *Voter) Keys() []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(v.cells)), func(k string) bool { return v.cells[k].value == nil })
}

// Standings are the generations this voter knows.
func (v *Voter) Standings() []*schema.Standing { return standings(v.standings) }

// Roster names the voters it was formed with, nil before that.
func (v *Voter) Roster() []string {
	if !v.formed {
		return nil
	}
	return slices.Sorted(maps.Keys(v.roster))
}
