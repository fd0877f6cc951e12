package simulation

import (
	"strconv"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// stockTransaction is one attempt of a transaction. It reads rows, changes stock rows in up
// to ten queries, and writes its tag.
type stockTransaction struct {
	session   *session
	tag       string
	rows      []string // rows that it changes, without the tag's row
	steps     []querytable.Query
	rollsBack bool                  // the last step rolls back
	abandoned bool                  // the caller abandons it before the last step
	expected  []checker.ObservedRow // rows that the first step reads
	end       func(querytable.Reply)
}

// transaction runs a transaction. Some transactions are rolled back and some are abandoned.
func (s *session) transaction(done func()) {
	s.attempt("transaction", done, func(end func(querytable.Reply)) {
		s.newStockTransaction(end).step(0)
	})
}

func (s *session) newStockTransaction(end func(querytable.Reply)) *stockTransaction {
	f := s.fleet
	t := &stockTransaction{session: s, tag: s.tag(), end: end, steps: []querytable.Query{{Class: s.class("current"), Begin: true}}}
	for range 1 + f.Random.IntN(f.Random.IntN(10)+1) {
		key := strconv.Itoa(f.Random.IntN(50))
		t.rows = append(t.rows, "stock/"+key)
		readValue := querytable.Statement{Prepared: "mine"}
		if s.setsNoValues {
			readValue = querytable.Statement{Text: "value mark"}
		}
		t.steps = append(t.steps, querytable.Query{Class: s.class("current"), Statements: []querytable.Statement{{Text: "add stock ? -1", Params: []string{key}}, readValue}})
	}
	t.rows = append(t.rows, checker.SessionRow(s.name))
	last := querytable.Query{Class: s.class("current"), Commit: true, Statements: statements("add ledger "+t.tag+" 1", "add own "+s.name+" 1")}
	ending := f.Random.Float64()
	t.abandoned = ending > 1-f.Plan.AbandonProbability
	if ending < rollbackProbability {
		last.Commit, last.Rollback, t.rollsBack = false, true, true
	}
	t.steps = append(t.steps, last)
	read, expected := s.newRead()
	t.steps[0].Statements, t.expected = statements(read, "value mark"), expected
	return t
}

// rollbackProbability is the probability that a transaction is rolled back.
const rollbackProbability = 0.05

// step sends the i-th query, and the next one after its reply.
func (t *stockTransaction) step(i int) {
	s := t.session
	last := i == len(t.steps)-1
	if i > 0 && s.moved || last && t.abandoned {
		t.abandon()
		return
	}
	s.send(t.steps[i], func(r querytable.Reply) {
		if r.Outcome == result.Done && !last {
			t.checkStep(i, r)
			s.fleet.After(s.fleet.Between(0, 2_000), func() { t.step(i + 1) })
			return
		}
		outcome := r.Outcome
		if t.rollsBack {
			outcome = result.NoEffect
		}
		s.recordWrite(t.tag, outcome, t.rows...)
		t.end(r)
	})
}

// abandon ends the session in the middle of the transaction, whose changes must not be
// committed.
func (t *stockTransaction) abandon() {
	s := t.session
	s.id = ""
	s.recordWrite(t.tag, result.NoEffect, t.rows...)
	if s.moved {
		t.end(querytable.Reply{Code: result.TransactionLost, Outcome: result.NoEffect})
	} else {
		t.end(querytable.Reply{Outcome: result.Done})
	}
}

// checkStep checks that a step ran with the session's own values, and records the read of
// the first step.
func (t *stockTransaction) checkStep(i int, r querytable.Reply) {
	s, want := t.session, t.session.ownValue
	if i > 0 {
		want = s.preparedRow
	}
	if len(r.Rows) != 2 || r.Rows[1][0][0] != want {
		s.fleet.RecordViolation("%s: step %d of a transaction showed another session's value: got rows %v, want the value %s", s.route, i, r.Rows, want)
	}
	if i == 0 {
		s.recordRead(checker.Current, r, t.expected)
	}
}
