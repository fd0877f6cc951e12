package paxos_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/paxos"
	"stoneford/schema"
)

// The exhaustive model: voters a, b and c, spares d and e, every interleaving to
// a depth. Acceptors are the real ones, each cloned from its snapshot and the
// state responses that it holds in memory only. Proposers are the test's own: they
// keep nothing but what they sent, follow Proposer's two rules (the newest promise
// decides; replies count by membership and identity of the disk), and may die at
// any moment, since whatever they may do next need never happen. What was sent
// stays under way for good: it may arrive in any order, twice, or never.

var (
	modelNames    = []string{"a", "b", "c", "d", "e"}
	modelFounders = paxos.Membership{Number: 1, Voters: map[string]uint64{"a": 1, "b": 2, "c": 3}}
)

// modelAcceptor is one acceptor: its disk, and what it has in memory only.
type modelAcceptor struct {
	disk      string // snapshot
	responses string // ids of state responses, two bytes each
}

// modelState is all acceptors and all that was sent, by ids.
type modelState struct {
	acceptors [5]uint16
	lostDisks uint8
	sent      []uint16 // in order
}

func (s modelState) key() string {
	b := make([]byte, 0, 11+2*len(s.sent))
	for _, l := range s.acceptors {
		b = binary.BigEndian.AppendUint16(b, l)
	}
	b = append(b, s.lostDisks)
	for _, m := range s.sent {
		b = binary.BigEndian.AppendUint16(b, m)
	}
	return string(b)
}

func (s modelState) with(ids ...uint16) modelState {
	s.sent = slices.Clone(s.sent)
	for _, id := range ids {
		if at, has := slices.BinarySearch(s.sent, id); !has {
			s.sent = slices.Insert(s.sent, at, id)
		}
	}
	return s
}

// modelMove is one step that may come next.
type modelMove struct {
	label string
	next  modelState
}

// modelDelivery is one acceptor's step on one envelope; each is computed once.
type modelDelivery struct {
	acceptor uint16
	name     int
	envelope string
}

type modelResult struct {
	acceptor uint16
	sent     []uint16
}

// smallModel holds what states refer to by id.
type smallModel struct {
	acceptors   []modelAcceptor
	acceptorIDs map[modelAcceptor]uint16
	sends       []*schema.Envelope
	sendIDs     map[string]uint16
	results     map[modelDelivery]modelResult
	views       map[view]*paxos.Acceptor
	losses      uint8
	mutation    mutation
	failure     string
}

// view is an acceptor to look at only.
type view struct {
	name  int
	local uint16
}

func newSmallModel(losses uint8, mutation mutation) *smallModel {
	return &smallModel{acceptorIDs: map[modelAcceptor]uint16{}, sendIDs: map[string]uint16{}, results: map[modelDelivery]modelResult{}, views: map[view]*paxos.Acceptor{}, losses: losses, mutation: mutation}
}

func encoded(m proto.Message) string {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func (m *smallModel) acceptorID(l modelAcceptor) uint16 {
	id, ok := m.acceptorIDs[l]
	if !ok {
		id = uint16(len(m.acceptors))
		m.acceptors, m.acceptorIDs[l] = append(m.acceptors, l), id
	}
	return id
}

func (m *smallModel) send(e *schema.Envelope) uint16 {
	k := encoded(e)
	id, ok := m.sendIDs[k]
	if !ok {
		id = uint16(len(m.sends))
		m.sends, m.sendIDs[k] = append(m.sends, e), id
	}
	return id
}

// newAcceptor is a clone to step.
func (m *smallModel) newAcceptor(name int, id uint16) *paxos.Acceptor {
	l := m.acceptors[id]
	disk := &schema.WALEntry{}
	if err := proto.Unmarshal([]byte(l.disk), disk); err != nil {
		panic(err)
	}
	a := paxos.NewAcceptor(modelNames[name], disk.DiskId, paxos.Location{}, nil)
	a.Restore(disk)
	for i := 0; i < len(l.responses); i += 2 {
		a.Step(0, proto.Clone(m.sends[binary.BigEndian.Uint16([]byte(l.responses[i:]))]).(*schema.Envelope))
	}
	return a
}

// readOnlyAcceptor is an acceptor to look at, not to step.
func (m *smallModel) readOnlyAcceptor(name int, id uint16) *paxos.Acceptor {
	a, ok := m.views[view{name, id}]
	if !ok {
		a = m.newAcceptor(name, id)
		m.views[view{name, id}] = a
	}
	return a
}

// deliver has an envelope arrive at an acceptor; it hands back its new state and
// what it sends that matters here.
func (m *smallModel) deliver(name int, id uint16, e *schema.Envelope) modelResult {
	at := modelDelivery{id, name, encoded(e)}
	if r, ok := m.results[at]; ok {
		return r
	}
	a := m.newAcceptor(name, id)
	before := a.Membership().Number
	effects := a.Step(0, proto.Clone(e).(*schema.Envelope))
	l := modelAcceptor{disk: encoded(a.Snapshot()), responses: m.acceptors[id].responses}
	switch {
	case a.Membership().Number != before || a.ActiveMembership() == a.Membership().Number:
		l.responses = ""
	case e.GetStateResponse() != nil && e.GetStateResponse().Membership == a.Membership().Number:
		l.responses += string(binary.BigEndian.AppendUint16(nil, m.send(e)))
	}
	r := modelResult{acceptor: m.acceptorID(l)}
	for _, s := range effects.Send {
		if s.Envelope.GetPromise().GetGranted() || s.Envelope.GetAccepted().GetGranted() || s.Envelope.GetStateResponse() != nil {
			r.sent = append(r.sent, m.send(s.Envelope))
		}
	}
	m.results[at] = r
	return r
}

// initialState is a state in which a, b and c vote and nothing was ever proposed.
func (m *smallModel) initialState() modelState {
	var s modelState
	for i, name := range modelNames {
		a := paxos.NewAcceptor(name, uint64(i+1), paxos.Location{}, nil)
		a.AdoptMembership(modelFounders)
		s.acceptors[i] = m.acceptorID(modelAcceptor{disk: encoded(a.Snapshot())})
	}
	return s
}

// proposal is what a ballot of a proposer is about.
type proposal struct {
	key    string
	name   string // of the change
	number uint64
}

var modelProposals = []proposal{{"k", "x", 1}, {"k", "y", 2}, {paxos.MembershipKey, "d for c", 1}, {paxos.MembershipKey, "e for b", 2}, {paxos.MembershipKey, "new disk", 3}}

func (c proposal) ballot(membership uint64) *schema.Ballot {
	return &schema.Ballot{Membership: membership, Number: c.number, Proposer: c.name}
}

// wanted is the value that a choice puts forward, nil for none.
func (m *smallModel) wanted(s modelState, c proposal, current paxos.Membership) *schema.Value {
	if c.key == "k" {
		return &schema.Value{Revision: 1, ChangeIds: []string{c.name}, Data: []byte(c.name)}
	}
	voters := maps.Clone(current.Voters)
	switch c.name {
	case "new disk":
		for i, name := range modelNames {
			if diskID := m.readOnlyAcceptor(i, s.acceptors[i]).DiskID(); voters[name] != 0 && voters[name] != diskID {
				voters[name] = diskID
			}
		}
	default:
		in, out := c.name[:1], c.name[len(c.name)-1:]
		if voters[out] == 0 || voters[in] != 0 {
			return nil
		}
		delete(voters, out)
		i := slices.Index(modelNames, in)
		voters[in] = m.readOnlyAcceptor(i, s.acceptors[i]).DiskID()
	}
	if maps.Equal(voters, current.Voters) {
		return nil
	}
	next := current.Next(voters)
	return &schema.Value{Revision: next.Number, ChangeIds: []string{c.name}, Data: next.Encode()}
}

// seen is what the envelopes of a state say was chosen.
type seen struct {
	memberships map[uint64]paxos.Membership
	values      map[string]string // by key and revision
	ballots     []*schema.Accept  // chosen ones
}

// findChosen finds what was chosen, and checks that no revision has two values.
func (m *smallModel) findChosen(s modelState) seen {
	v := seen{memberships: map[uint64]paxos.Membership{1: modelFounders}, values: map[string]string{}}
	for changed := true; changed; {
		changed = false
		for _, id := range s.sent {
			accept := m.sends[id].GetAccept()
			if accept == nil || slices.Contains(v.ballots, accept) || !m.chosen(s, v, accept) {
				continue
			}
			v.ballots = append(v.ballots, accept)
			m.isChosen(v, accept.Key, accept.Value)
			if next, err := paxos.DecodeMembership(accept.Value.Data); accept.Key == paxos.MembershipKey && err == nil {
				v.memberships[next.Number] = next
				changed = true
			}
		}
	}
	for _, id := range s.sent {
		if l := m.sends[id].GetRegisterUpdate(); l != nil { // what a learner took for chosen
			m.isChosen(v, l.Registers[0].Key, l.Registers[0].Value)
		}
	}
	return v
}

func (m *smallModel) isChosen(v seen, key string, value *schema.Value) {
	k := fmt.Sprint(key, value.Revision)
	if previous, ok := v.values[k]; ok && previous != string(value.Data) {
		m.failure = fmt.Sprintf("%s revision %d is both %q and %q", key, value.Revision, previous, value.Data)
	}
	v.values[k] = string(value.Data)
}

// chosen reports whether a majority of a ballot's membership accepted it.
func (m *smallModel) chosen(s modelState, v seen, accept *schema.Accept) bool {
	voters, ok := v.memberships[accept.Ballot.Membership]
	if !ok {
		return false
	}
	n := 0
	for _, id := range s.sent {
		e := m.sends[id]
		if a := e.GetAccepted(); a != nil && a.Key == accept.Key && paxos.BallotEqual(a.Promised, accept.Ballot) && voters.HasVoter(e.From, a.DiskId) {
			n++
		}
	}
	return n >= voters.Quorum()
}

// checkVotersHoldChosen checks that whoever votes holds what was chosen under earlier
// memberships.
func (m *smallModel) checkVotersHoldChosen(s modelState, v seen) {
	for i, name := range modelNames {
		a := m.readOnlyAcceptor(i, s.acceptors[i])
		for _, accept := range v.ballots {
			if accept.Key != "k" || accept.Ballot.Membership >= a.ActiveMembership() {
				continue
			}
			if c := a.RegisterState("k"); c == nil || paxos.BallotLess(c.Accepted, accept.Ballot) {
				m.failure = fmt.Sprintf("%s votes under %d without %q of %d", name, a.ActiveMembership(), accept.Value.Data, accept.Ballot.Membership)
			}
		}
	}
}

// moves are all steps that may come next.
func (m *smallModel) moves(s modelState) []modelMove {
	var out []modelMove
	add := func(label string, next modelState) { out = append(out, modelMove{label, next}) }
	v := m.findChosen(s)
	m.checkVotersHoldChosen(s, v)
	step := func(label string, i int, e *schema.Envelope) {
		r := m.deliver(i, s.acceptors[i], e)
		next := s.with(r.sent...)
		next.acceptors[i] = r.acceptor
		if next.acceptors != s.acceptors || len(next.sent) != len(s.sent) {
			add(modelNames[i]+" "+label, next)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(v.memberships)) {
		current := v.memberships[number]
		for _, c := range modelProposals {
			want := m.wanted(s, c, current)
			if want == nil {
				continue
			}
			m.proposals(s, c, current, want, step, add)
		}
		for i := range modelNames {
			if number > 1 {
				// As a voter under the membership before asks, who is answered by all that hold
				// something; who copies the answer is another step.
				asker := slices.Sorted(maps.Keys(current.Previous))[0]
				step(fmt.Sprint("learns ", number), i, &schema.Envelope{From: asker, Body: &schema.Envelope_StateRequest{
					StateRequest: &schema.StateRequest{Membership: current.Proto(), DiskId: current.Previous[asker]}}})
			}
		}
	}
	for _, id := range s.sent {
		e := m.sends[id]
		for i := range modelNames {
			if e.GetAccept() != nil {
				step(fmt.Sprintf("accepts %s@%d", e.GetAccept().Ballot.Proposer, e.GetAccept().Ballot.Membership), i, e)
			}
			if e.GetStateResponse() != nil && e.From != modelNames[i] {
				step("copies "+e.From, i, m.mutateResponse(e))
			}
		}
	}
	m.restarts(s, add)
	if m.mutation == earlierCounted {
		m.learnMutation(s, v, add)
	}
	return out
}

// mutateResponse has one voter's word for what was held before be enough.
func (m *smallModel) mutateResponse(e *schema.Envelope) *schema.Envelope {
	if m.mutation != emptyNewcomerAccepts {
		return e
	}
	e = proto.Clone(e).(*schema.Envelope)
	e.GetStateResponse().ActiveMembership = e.GetStateResponse().Membership
	return e
}

// proposals are the steps of one ballot.
func (m *smallModel) proposals(s modelState, c proposal, current paxos.Membership, want *schema.Value, step func(string, int, *schema.Envelope), add func(string, modelState)) {
	ballot := c.ballot(current.Number)
	var promises []*schema.Envelope
	for i, name := range modelNames {
		if current.HasVoter(name, m.readOnlyAcceptor(i, s.acceptors[i]).DiskID()) {
			step(fmt.Sprintf("promises %s@%d", c.name, current.Number), i, &schema.Envelope{From: "p", Body: &schema.Envelope_Prepare{
				Prepare: &schema.Prepare{Key: c.key, Ballot: ballot, Membership: current.Number}}})
		}
	}
	for _, id := range s.sent {
		e := m.sends[id]
		if a := e.GetAccept(); a != nil && a.Key == c.key && paxos.BallotEqual(a.Ballot, ballot) {
			return // a ballot has one value
		}
		if p := e.GetPromise(); p != nil && p.Key == c.key && paxos.BallotEqual(p.Promised, ballot) && current.HasVoter(e.From, p.DiskId) {
			promises = append(promises, e)
		}
	}
	for set := 1; set < 1<<len(promises); set++ {
		var newest *schema.Promise
		n := 0
		for i, e := range promises {
			if set&(1<<i) != 0 {
				n++
				if p := e.GetPromise(); newest == nil || paxos.BallotLess(newest.Accepted, p.Accepted) {
					newest = p
				}
			}
		}
		if n != current.Quorum() {
			continue
		}
		value := newest.Value
		if value.GetRevision() == want.Revision-1 {
			value = want
		}
		add(fmt.Sprintf("%s@%d is put to the vote", c.name, current.Number), s.with(m.send(&schema.Envelope{From: "p", Body: &schema.Envelope_Accept{
			Accept: &schema.Accept{Key: c.key, Ballot: ballot, Value: value, Membership: current.Number}}})))
	}
}

// restarts are those of processes that lose what they have in memory, and of
// voters that lose their disks.
func (m *smallModel) restarts(s modelState, add func(string, modelState)) {
	for i, name := range modelNames {
		l := m.acceptors[s.acceptors[i]]
		if l.responses != "" {
			next := s
			next.acceptors[i] = m.acceptorID(modelAcceptor{disk: l.disk})
			add(name+" restarts", next)
		}
		if m.mutation == adoptionNotSynced || m.mutation == stopNotSynced {
			m.forgetMutation(s, i, add)
		}
		if s.lostDisks < m.losses && i < 3 {
			next := s
			next.lostDisks++
			a := paxos.NewAcceptor(name, uint64(10+i), paxos.Location{}, nil)
			next.acceptors[i] = m.acceptorID(modelAcceptor{disk: encoded(a.Snapshot())})
			add(name+" loses its disk", next)
		}
	}
}

// forgetMutation is the plant of a voter that restarts without the membership that it
// adopted and, with one of the plants, without the successor that it accepted.
func (m *smallModel) forgetMutation(s modelState, i int, add func(string, modelState)) {
	disk := m.readOnlyAcceptor(i, s.acceptors[i]).Snapshot()
	if disk.ActiveMembership != 1 || disk.Membership.Number != 2 {
		return
	}
	disk.Membership = modelFounders.Proto()
	if m.mutation == stopNotSynced {
		disk.Registers = slices.DeleteFunc(disk.Registers, func(c *schema.RegisterState) bool { return c.Key == paxos.MembershipKey })
	}
	next := s
	next.acceptors[i] = m.acceptorID(modelAcceptor{disk: encoded(disk)})
	add(modelNames[i]+" forgets", next)
}

// learnMutation is the plant of a learner that counts what was accepted before.
func (m *smallModel) learnMutation(s modelState, v seen, add func(string, modelState)) {
	for _, current := range v.memberships {
		by := map[string]int{}
		for i, name := range modelNames {
			a := m.readOnlyAcceptor(i, s.acceptors[i])
			if c := a.RegisterState("k"); c != nil && a.ActiveMembership() == current.Number && current.HasVoter(name, a.DiskID()) {
				k := c.Accepted.String()
				if by[k]++; by[k] == current.Quorum() {
					add("learnt", s.with(m.send(&schema.Envelope{Body: &schema.Envelope_RegisterUpdate{RegisterUpdate: &schema.RegisterUpdate{Registers: []*schema.Register{{Key: "k", Value: c.Value}}}}})))
				}
			}
		}
	}
}

// follow takes the moves of these labels, one after the other.
func (m *smallModel) follow(t *testing.T, s modelState, labels ...string) modelState {
	t.Helper()
next:
	for _, label := range labels {
		var had []string
		for _, move := range m.moves(s) {
			if move.label == label {
				s = move.next
				continue next
			}
			had = append(had, move.label)
		}
		t.Fatalf("%q cannot come next, only %q", label, had)
	}
	return s
}

// exhaust goes through every interleaving from a state, to a depth or until a
// check fails or the time is up; it hands back how many states it met, by depth.
func (m *smallModel) exhaust(s modelState, depth int, until time.Time) (counts []int, complete bool) {
	met := map[string]bool{s.key(): true}
	layer := []modelState{s}
	for range depth {
		var next []modelState
		for _, s := range layer {
			for _, move := range m.moves(s) {
				if k := move.next.key(); !met[k] {
					met[k] = true
					next = append(next, move.next)
				}
			}
			if m.failure != "" {
				return append(counts, len(next)), true
			}
			if time.Now().After(until) {
				return append(counts, len(next)), false
			}
		}
		counts = append(counts, len(next))
		layer = next
	}
	for _, s := range layer {
		m.checkVotersHoldChosen(s, m.findChosen(s))
	}
	return counts, true
}

func splitLabels(s string) []string { return strings.Split(strings.TrimSpace(s), "; ") }

const (
	chooseX      = "a promises x@1; b promises x@1; x@1 is put to the vote; a accepts x@1; b accepts x@1"
	proposeDForC = "a promises d for c@1; b promises d for c@1; d for c@1 is put to the vote"
	acceptDForC  = proposeDForC + "; a accepts d for c@1; b accepts d for c@1"
)

// TestEveryInterleaving: from each of these beginnings, whatever comes next in
// whatever order, no revision of a register and no number of a membership has two
// values, and whoever votes holds what was chosen under earlier memberships.
func TestEveryInterleaving(t *testing.T) {
	total := 0
	for _, c := range []struct {
		name   string
		before string
		depth  int
		losses uint8
	}{
		{"nothing proposed", "", 7, 1},
		{"one accepted x", "a promises x@1; b promises x@1; x@1 is put to the vote; b accepts x@1", 7, 1},
		{"x is chosen, a successor accepted by one", chooseX + "; " + proposeDForC + "; a accepts d for c@1", 6, 1},
		{"x and a successor are chosen", chooseX + "; " + acceptDForC, 7, 1},
		{"a votes under the successor", chooseX + "; " + acceptDForC + "; b learns 2; a learns 2; a copies b", 6, 1},
	} {
		m := newSmallModel(c.losses, noMutation)
		s := m.initialState()
		if c.before != "" {
			s = m.follow(t, s, splitLabels(c.before)...)
		}
		depth := c.depth
		if slower > 1 || testing.Short() {
			depth -= 2
		}
		startedAt := time.Now()
		counts, _ := m.exhaust(s, depth, startedAt.Add(5*time.Minute))
		for _, n := range counts {
			total += n
		}
		t.Logf("%s: depth %d, states by depth %v, %d states of an acceptor, %d envelopes, %v", c.name, depth, counts, len(m.acceptors), len(m.sends), time.Since(startedAt).Round(time.Millisecond))
		if m.failure != "" {
			t.Errorf("%s: %s", c.name, m.failure)
		}
	}
	t.Logf("%d states", total)
}

// TestMutationsInEveryInterleaving: the same checks fail for these faults, and
// for none of them in the same place without it. A voter that forgets only the
// membership that it adopted does no harm, as it is sealed still.
func TestMutationsInEveryInterleaving(t *testing.T) {
	if slower > 1 {
		t.Skip("the race detector has nothing to see here")
	}
	const (
		dForCWithoutB = "a promises d for c@1; c promises d for c@1; d for c@1 is put to the vote; a accepts d for c@1; c accepts d for c@1"
		eForB         = "a promises e for b@1; b promises e for b@1; e for b@1 is put to the vote; a accepts e for b@1; b accepts e for b@1; c accepts e for b@1"
		xUnderSecond  = "a promises x@2; d promises x@2; x@2 is put to the vote; a accepts x@2; d accepts x@2"
		rivals        = "a promises x@1; b promises x@1; x@1 is put to the vote; a accepts x@1; b promises y@1; c promises y@1; y@1 is put to the vote; c accepts y@1"
	)
	for _, c := range []struct {
		mutation mutation
		before   string
		depth    int
		red      bool
	}{
		{emptyNewcomerAccepts, chooseX + "; " + eForB, 4, true},
		{stopNotSynced, dForCWithoutB + "; c learns 2; a learns 2; d learns 2; a copies c; d copies a; d copies c; " + xUnderSecond, 6, true},
		{adoptionNotSynced, dForCWithoutB + "; c learns 2; a learns 2; d learns 2; a copies c; d copies a; d copies c; " + xUnderSecond, 6, false},
		{earlierCounted, rivals + "; " + acceptDForC + "; a learns 2; b learns 2; c learns 2; d learns 2; d copies a; d copies b; a copies b; b copies c", 6, true},
	} {
		for _, mutation := range []mutation{noMutation, c.mutation} {
			m := newSmallModel(0, mutation)
			s := m.follow(t, m.initialState(), splitLabels(c.before)...)
			startedAt := time.Now()
			counts, complete := m.exhaust(s, c.depth, startedAt.Add(time.Minute))
			t.Logf("%q planted where %q may show: depth %d, states by depth %v, %v: %q", mutation, c.mutation, c.depth, counts, time.Since(startedAt).Round(time.Millisecond), m.failure)
			if red := c.red && mutation != noMutation; !complete || (m.failure != "") != red {
				t.Errorf("%q: red %v, wanted %v; whole %v", mutation, m.failure != "", red, complete)
			}
		}
	}
}
