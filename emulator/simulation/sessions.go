package simulation

import (
	"fmt"
	"math"
	"strconv"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// session is the session of one caller, with the caller's state.
type session struct {
	fleet        *Fleet
	name         string
	partner      string
	route        string
	group        string
	zone         string
	moved        bool // the caller's zone changed since its last query was sent
	node         *nodeProcess
	generation   int
	id           string
	ownValue     string // value of the session variable "mark"
	preparedRow  string // value that its prepared statement must return
	token        querytable.Token
	otherTokens  map[string]querytable.Token // newest token of each group that the session used before, by group
	nextGroup    string                      // group to which its route leads from its next action on, "" for no change
	setsNoValues bool                        // the session is opened without values
	endsAtUs     int64                       // end of the session, 0 for none
}

// class returns the name that the session's partner uses for the class of a kind.
func (s *session) class(kind string) string { return s.fleet.classNames[s.partner][kind] }

// think returns a random time until the session's next action. It is shorter in the middle
// of a simulated day and for the sessions of a crowd.
func (s *session) think() int64 {
	t := s.fleet.Plan.ThinkUs
	if s.endsAtUs > 0 {
		t /= 3
	}
	if d := s.fleet.Plan.DayUs; d > 0 {
		t = int64(float64(t) / (1.1 - math.Cos(2*math.Pi*float64(s.fleet.Now%d)/float64(d))))
	}
	return s.fleet.Between(t/2, t*3/2)
}

// loop runs random actions, one after the other, until the session's end.
func (s *session) loop() {
	if s.fleet.halted || s.endsAtUs > 0 && s.fleet.Now > s.endsAtUs {
		return
	}
	s.followRoute()
	done := func() { s.fleet.After(s.think(), s.loop) }
	switch p := s.fleet.Random.Float64(); {
	case p < 0.36:
		s.reserve(done)
	case p < 0.53:
		s.transaction(done)
	case p < 0.60:
		s.read(checker.Current, querytable.Query{Class: s.class("current"), ReadOnly: true}, done)
	case p < 0.85:
		s.read(checker.Lookup, querytable.Query{Class: s.class("stale")}, done)
	case p < 0.98:
		s.read(checker.ReadYourWrites, querytable.Query{Class: s.class("pinned")}, done)
	default:
		s.changeValue(done)
	}
}

// statements returns statements with the given texts and without parameters.
func statements(texts ...string) []querytable.Statement {
	var statements []querytable.Statement
	for _, t := range texts {
		statements = append(statements, querytable.Statement{Text: t})
	}
	return statements
}

// open opens the session on a random ready node, preferably in the caller's zone. opened
// receives false if no node is ready or the node ends before the request arrives. The
// platform detects the end of a node with a delay; here only running nodes are candidates,
// so that most queries reach a running node.
func (s *session) open(opened func(bool)) {
	f := s.fleet
	candidates := s.readyNodes()
	if len(candidates) == 0 {
		opened(false)
		return
	}
	s.node = candidates[f.Random.IntN(len(candidates))]
	s.generation = s.node.generation
	f.lastID++
	s.id = fmt.Sprintf("%s/%d", s.name, f.lastID)
	e := s.openEvent()
	n, generation := s.node, s.generation
	f.After(f.callerDelay(), func() {
		if !n.up || n.generation != generation {
			s.id = ""
			opened(false)
			return
		}
		f.toNode(n, generation, func() { f.stepTable(n, s.group, e) })
		opened(true)
	})
}

// readyNodes returns the ready nodes of the session's zone or, if there are none, of all
// zones.
func (s *session) readyNodes() []*nodeProcess {
	var ready, near []*nodeProcess
	for _, n := range s.fleet.Nodes {
		if n.up && !n.frozen && !n.stopping() && n.tables[s.group] != nil {
			ready = append(ready, n)
			if n.boot.Zone == s.zone {
				near = append(near, n)
			}
		}
	}
	if len(near) > 0 {
		return near
	}
	return ready
}

// openEvent returns the event that opens the session with its token, values and prepared
// statement.
func (s *session) openEvent() querytable.OpenSession {
	e := querytable.OpenSession{Session: s.id, Token: s.token}
	if s.fleet.Plan.Mutation == DroppedToken {
		e.Token = querytable.Token{}
	}
	s.ownValue, s.preparedRow = "", ""
	if !s.setsNoValues {
		// Sessions prepare one of two different texts under the same name.
		s.ownValue, s.preparedRow = s.id, s.id
		e.Values, e.Prepared = map[string]string{"mark": s.ownValue, "other": s.id + "!"}, map[string]string{"mine": "value mark"}
		if len(s.name)%2 == 0 {
			s.preparedRow = s.id + "!"
			e.Prepared["mine"] = "value other"
		}
	}
	return e
}

// changeValue sets the session variable "mark" to a new value.
func (s *session) changeValue(done func()) {
	if s.id == "" || s.setsNoValues || s.moved {
		done()
		return
	}
	f, n := s.fleet, s.node
	f.lastID++
	e := querytable.ChangeSession{ID: f.lastID, Session: s.id, Values: map[string]string{"mark": fmt.Sprintf("%s'%d", s.id, f.lastID)}}
	s.request(n, e.ID, e, func(r querytable.Reply) {
		switch {
		case r.Outcome != result.Done:
			s.id = ""
		case s.preparedRow == s.ownValue:
			s.ownValue, s.preparedRow = e.Values["mark"], e.Values["mark"]
		default:
			s.ownValue = e.Values["mark"]
		}
		done()
	})
}

// abandonNode ends the session on the node of the previous zone if the caller has moved.
// Half of the callers close the session there.
func (s *session) abandonNode() {
	if !s.moved {
		return
	}
	s.moved = false
	f, n, generation, id := s.fleet, s.node, s.generation, s.id
	s.id = ""
	if id != "" && f.Chance(0.5) {
		f.After(f.callerDelay(), func() {
			f.toNode(n, generation, func() { f.stepTable(n, s.group, querytable.CloseSession{Session: id}) })
		})
	}
}

// send sends a query once, and opens the session first if it is not open. onReply is called
// with the reply.
func (s *session) send(q querytable.Query, onReply func(querytable.Reply)) {
	f := s.fleet
	s.abandonNode()
	if s.id == "" {
		s.open(func(ok bool) {
			if !ok {
				s.id = ""
				onReply(querytable.Reply{Code: result.NotConfigured, Outcome: result.NoEffect, RetryAfterUs: 100_000})
				return
			}
			s.send(q, onReply)
		})
		return
	}
	f.lastID++
	q.ID, q.Session = f.lastID, s.id
	s.request(s.node, q.ID, q, func(r querytable.Reply) {
		if r.Token.Position > s.token.Position {
			s.token = r.Token
		}
		if r.Code == result.UnknownSession || r.Code == result.Stopping || r.Code < 0 {
			s.id = ""
		}
		onReply(r)
	})
}

// reserve sends a single write. With probability 1/16 it repeats a successful write under
// the same name, which must return the same position and not take effect twice.
func (s *session) reserve(done func()) {
	s.attempt("reservation", done, func(end func(querytable.Reply)) {
		tag := s.tag()
		q := querytable.Query{Name: tag, Class: s.class("current"), Statements: statements("add ledger " + tag + " 1")}
		s.send(q, func(r querytable.Reply) {
			s.recordWrite(tag, r.Outcome)
			if r.Outcome != result.Done || s.fleet.Random.IntN(16) > 0 || s.id == "" || s.moved {
				end(r)
				return
			}
			s.send(q, func(repeated querytable.Reply) {
				if repeated.Outcome == result.Done && repeated.Position != r.Position {
					s.fleet.RecordViolation("%s: the repeated write %s was acknowledged at position %d, the first one at position %d", s.route, tag, repeated.Position, r.Position)
				}
				end(r)
			})
		})
	})
}

// newRead returns a statement that reads the tick row, the session's own row, a random
// stock row and the row of the newest acknowledged tag, and these rows with the values that
// the read must show.
func (s *session) newRead() (string, []checker.ObservedRow) {
	rows := []string{checker.TickRow, checker.SessionRow(s.name), "stock/" + strconv.Itoa(s.fleet.Random.IntN(50))}
	if tag := s.fleet.lastTag[s.route]; tag != "" {
		rows = append(rows, checker.TagRow(tag))
	}
	return checker.ReadStatement(rows), s.fleet.Oracle.ExpectedRows(s.route, rows...)
}

// read sends a read and records its result.
func (s *session) read(kind string, q querytable.Query, done func()) {
	s.attempt(kind, done, func(end func(querytable.Reply)) {
		statement, expected := s.newRead()
		q.Name, q.Statements = s.tag(), statements(statement)
		s.fleet.lastRead[s.route] = q.Name
		s.send(q, func(r querytable.Reply) {
			if r.Outcome == result.Done {
				s.recordRead(kind, r, expected)
			}
			end(r)
		})
	})
}
