package sessionpool

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"stoneford/ports"
	"stoneford/routingtable"
	"stoneford/schema"
	"stoneford/sessiontable"
	"stoneford/voterview"
)

// voters are two of three voters as a node hears them: enough for a majority.
type voters struct {
	t   *testing.T
	c   *Core
	now int64
	seq uint64
}

var voterNames = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}

func newVoters(t *testing.T) *voters {
	b := ports.Boot{Name: "pool-1", Zone: "a", IP: "10.0.0.9", PortFirst: 7000}
	b.Seeds = append(b.Seeds, voterNames...)
	return &voters{t: t, c: NewCore(b, 1, 1, sessiontable.Options{}), now: 1_000_000}
}

// say has two voters tell of cells; the node's looks are returned if asked for.
func (v *voters) say(returns bool, cells ...*schema.Cell) []sessiontable.Effect {
	var do []sessiontable.Effect
	v.seq++
	v.now += 200_000
	fx := v.c.Step(v.now, sessiontable.Tick{})
	do = append(do, fx.Do...)
	number := uint64(0)
	for _, s := range fx.Send {
		if returns {
			number = s.Env.GetLook().Number
		}
	}
	for _, o := range voterNames[:2] {
		do = append(do, v.c.Step(v.now, &schema.Envelope{From: o, Body: &schema.Envelope_LookReturn{LookReturn: &schema.LookReturn{
			Number: number, Life: 1, Seq: v.seq, Active: 1, Disk: 1, Membership: voterMembership(), Cells: cells, Bodies: true,
			Instances: []*schema.Record{voterview.Record(ports.Instance{ID: "d1", Group: "g", Address: "d1:1", Zone: "a", Primary: true, Call: 1})}}}}).Do...)
	}
	return do
}

// voterMembership is the membership that the voters of these tests vote under.
func voterMembership() *schema.Membership {
	m := &schema.Membership{Number: 1}
	for _, n := range voterNames {
		m.Voters = append(m.Voters, &schema.Voter{Address: n, Life: 1})
	}
	return m
}

func cell(key string, rev uint64, data []byte) *schema.Cell {
	return &schema.Cell{Key: key, Accepted: &schema.Ballot{Membership: 1, Round: rev, Proposer: "p"}, Value: &schema.Value{Revision: rev, Data: data}}
}

func table(rev uint64) *schema.Cell {
	return cell(voterview.TableKey, rev, routingtable.Encode(ports.RoutingTable{Revision: 1,
		Routes:     []ports.Route{{Name: "r", Host: "h", Prefix: "/", Group: "g", ExpiryUs: 4_000_000, AimUs: 2_000_000}},
		Groups:     []ports.Group{{Name: "g", ConnLimit: 10, Sync: 1}},
		Placements: []ports.Placement{{Group: "g", Site: "a", Table: rev}}}))
}

func leads(t *testing.T, rev, floor uint64) *schema.Cell {
	b, err := proto.Marshal(&schema.Leadership{Term: rev, Primary: "d1", Address: "d1:1", Table: floor})
	if err != nil {
		t.Fatal(err)
	}
	return cell(voterview.LeaderPrefix+"g", rev, b)
}

// connects asks for a write and says whether the node turns to the primary.
func (v *voters) connects(session uint64) bool {
	var do []sessiontable.Effect
	do = append(do, v.c.Step(v.now, sessiontable.Opened{Session: session, Host: "h"}).Do...)
	do = append(do, v.c.Step(v.now, sessiontable.Asked{Session: session, St: ports.Statement{ID: "s", Kind: ports.Write, Text: "w", Raw: []byte("w")}}).Do...)
	for _, d := range do {
		if _, ok := d.(sessiontable.Connect); ok {
			return true
		}
	}
	return false
}

// TestFloor: a node takes nothing on for a group whose leadership needs a newer
// routing table than it works by, and does once it has it.
func TestFloor(t *testing.T) {
	v := newVoters(t)
	v.say(true, table(1), leads(t, 1, 2))
	if v.connects(1) {
		t.Error("it turned to the primary under table 1, and 2 is needed")
	}
	do := v.say(true, table(2))
	found := false
	for _, d := range do {
		_, ok := d.(sessiontable.Connect)
		found = found || ok
	}
	if !found {
		t.Error("it does not serve under table 2")
	}
	w := newVoters(t)
	w.say(true, table(2), leads(t, 1, 2))
	if !w.connects(1) {
		t.Error("it does not serve under the table that is needed")
	}
}

// TestNoLeaseUnderAnOlderTable: returns of voters that hold a newer table than
// the node works by give no lease.
func TestNoLeaseUnderAnOlderTable(t *testing.T) {
	v := newVoters(t)
	v.say(true, table(1))
	had := v.c.LeaseUntil()
	if had == 0 {
		t.Fatal("no lease under the newest table")
	}
	// The voters hold table 2; its body has not come.
	bare := cell(voterview.TableKey, 2, nil)
	for range 3 {
		v.say(true, bare)
	}
	if l := v.c.LeaseUntil(); l != had {
		t.Errorf("a lease until %d under table 1", l)
	}
	v.say(false, table(2))
	if l := v.c.LeaseUntil(); l <= had || v.c.TableRevision() != 2 {
		t.Errorf("no lease under table %d: until %d, %d before", v.c.TableRevision(), l, had)
	}
}

// TestBodyFromWhoLives: a node that heard of a table without its body gets it,
// whichever voter is gone.
func TestBodyFromWhoLives(t *testing.T) {
	for _, gone := range voterNames {
		v := newVoters(t)
		v.say(true, table(1))
		told := func(from string, number uint64, c *schema.Cell) {
			v.c.Step(v.now, &schema.Envelope{From: from, Body: &schema.Envelope_LookReturn{LookReturn: &schema.LookReturn{
				Number: number, Life: 1, Seq: 9, Active: 1, Disk: 1, Membership: voterMembership(), Cells: []*schema.Cell{c}}}})
		}
		bare := cell(voterview.TableKey, 2, nil)
		for _, o := range voterNames {
			if o != gone {
				told(o, 0, bare)
			}
		}
		for range 8 {
			v.now += 600_000
			for _, s := range v.c.Step(v.now, sessiontable.Tick{}).Send {
				l := s.Env.GetLook()
				switch {
				case l == nil || s.To == gone:
				case l.Bodies:
					told(s.To, l.Number, table(2))
				default:
					told(s.To, l.Number, bare)
				}
			}
		}
		if v.c.TableRevision() != 2 {
			t.Errorf("with %s gone it works by table %d yet", gone, v.c.TableRevision())
		}
	}
}
