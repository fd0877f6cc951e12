package callers

import (
	"context"
	"strconv"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// transaction runs one transaction, and retries it if it is rejected or lost.
func (s *session) transaction(ctx context.Context) {
	startUs := nowUs()
	for attempts := 1; ; attempts++ {
		t := s.newStockTransaction()
		v, ok := t.run(ctx)
		if !ok {
			return
		}
		s.recordWrite(t.tag, v.Outcome, t.rows...)
		if (v.rejected() || v.Code == result.TransactionLost) && waitForRetry(ctx, v, startUs) {
			continue
		}
		s.recordSample(Transaction, startUs, attempts, v)
		return
	}
}

// stockTransaction is one attempt of a transaction. It reads rows, changes stock rows in up
// to ten queries, and writes its tag.
type stockTransaction struct {
	session  *session
	tag      string
	rows     []string // rows that it changes, without the tag's row
	steps    []query
	expected []checker.ObservedRow // rows that the first step reads
	value    string                // session value when the transaction began
}

func (s *session) newStockTransaction() *stockTransaction {
	t := &stockTransaction{session: s, tag: s.tag(), rows: []string{checker.SessionRow(s.name)}}
	read, expected := s.newRead()
	t.expected = expected
	t.steps = []query{{Class: s.class("current"), Begin: true, Statements: statements(read, "value mark")}}
	for range 1 + s.random.IntN(1+s.random.IntN(10)) {
		key := strconv.Itoa(s.random.IntN(50))
		t.rows = append(t.rows, "stock/"+key)
		t.steps = append(t.steps, query{Class: s.class("current"), Statements: []querytable.Statement{{Text: "add stock ? -1", Params: []string{key}}, {Prepared: "mine"}}})
	}
	t.steps = append(t.steps, query{Class: s.class("current"), Commit: true, Statements: statements("add ledger "+t.tag+" 1", "add own "+s.name+" 1")})
	return t
}

// run sends the steps and returns the reply to the last step that was sent. ok is false if
// no session could be opened.
func (t *stockTransaction) run(ctx context.Context) (v reply, ok bool) {
	s := t.session
	for i, q := range t.steps {
		if i > 0 && s.moved.Load() {
			// The transaction is abandoned on the previous node.
			return reply{Code: result.TransactionLost, Outcome: result.NoEffect}, true
		}
		if v, ok = s.send(ctx, q); !ok {
			if i > 0 {
				s.recordWrite(t.tag, result.NoEffect, t.rows...)
			}
			return v, false
		}
		if i == 0 {
			t.value = s.ownValue
		}
		if v.Outcome != result.Done || i == len(t.steps)-1 {
			break
		}
		t.checkStep(i, v)
	}
	return v, true
}

// checkStep checks that a step ran with the session's own values, and records the read of
// the first step.
func (t *stockTransaction) checkStep(i int, v reply) {
	s := t.session
	if i == 0 {
		s.recordRead(checker.Current, v, t.expected)
	}
	if len(v.Rows) != 2 || v.Rows[1][0][0] != t.value {
		s.runner.Checker.RecordViolation("%s: step %d of a transaction showed another session's value: got rows %v, want the value %s", s.route, i, v.Rows, t.value)
	}
}
