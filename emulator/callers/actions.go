package callers

import (
	"context"
	"strconv"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// runAction runs one random write, transaction or read.
func (s *session) runAction(ctx context.Context) {
	switch p := s.random.Float64(); {
	case p < 0.38:
		s.reserve(ctx)
	case p < 0.55:
		s.transaction(ctx)
	case p < 0.60:
		s.read(ctx, checker.Current, query{Class: s.class("current"), ReadOnly: true})
	case p < 0.87:
		s.read(ctx, checker.Lookup, query{Class: s.class("stale")})
	default:
		s.read(ctx, checker.ReadYourWrites, query{Class: s.class("pinned")})
	}
}

// tag returns a new unique tag for a write.
func (s *session) tag() string { return "t" + strconv.FormatInt(s.runner.sequence.Add(1), 10) }

// recordWrite records the outcome of a write.
func (s *session) recordWrite(tag string, o result.Outcome, rows ...string) {
	s.runner.Checker.RecordWrite(checker.Write{Route: s.route, Tag: tag, Rows: rows, Outcome: o, AtUs: nowUs()})
	if o == result.Done {
		s.runner.mu.Lock()
		defer s.runner.mu.Unlock()
		s.runner.lastTag[s.route] = tag
		s.runner.acknowledgedAt[s.route] = append(s.runner.acknowledgedAt[s.route], nowUs())
	}
}

// reserve sends a single write and retries it while it is rejected. Each attempt has a new
// tag, so that the checker can check each of them.
func (s *session) reserve(ctx context.Context) {
	startUs := nowUs()
	for attempts := 1; ; attempts++ {
		tag := s.tag()
		v, ok := s.send(ctx, query{Query: tag, Class: s.class("current"), Statements: statements("add ledger " + tag + " 1")})
		if !ok {
			return
		}
		s.recordWrite(tag, v.Outcome)
		if v.rejected() && waitForRetry(ctx, v, startUs) {
			continue
		}
		s.recordSample(Reservation, startUs, attempts, v)
		return
	}
}

// recordSample records a query for the statistics.
func (s *session) recordSample(kind string, startUs int64, attempts int, v reply) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	s.runner.samples = append(s.runner.samples, Sample{Kind: kind, AtUs: startUs, DurationUs: nowUs() - startUs, Code: v.Code, Outcome: v.Outcome, Attempts: attempts, Database: v.Database, OnReplica: v.FromReplica})
}

// class returns the name of the route's class of a kind.
func (s *session) class(kind string) string { return s.runner.load.Classes[s.route][kind] }

// newRead returns a statement that reads the tick row, the session's own row and the row of
// the newest acknowledged tag, and these rows with the values that the read must show.
func (s *session) newRead() (string, []checker.ObservedRow) {
	rows := []string{checker.TickRow, checker.SessionRow(s.name)}
	s.runner.mu.Lock()
	t := s.runner.lastTag[s.route]
	s.runner.mu.Unlock()
	if t != "" {
		rows = append(rows, checker.TagRow(t))
	}
	return checker.ReadStatement(rows), s.runner.Checker.ExpectedRows(s.route, rows...)
}

// read sends a read and records its result.
func (s *session) read(ctx context.Context, kind string, q query) {
	statement, expected := s.newRead()
	q.Statements = statements(statement)
	v, ok := s.call(ctx, kind, q)
	if ok && v.Outcome == result.Done {
		s.recordRead(kind, v, expected)
	}
}

// recordRead records the result of a read.
func (s *session) recordRead(kind string, v reply, expected []checker.ObservedRow) {
	var values [][]string
	if len(v.Rows) > 0 {
		values = v.Rows[0]
	}
	s.runner.Checker.RecordRead(checker.Read{Route: s.route, Kind: kind, Rows: expected, AtUs: nowUs(), ServedBy: "on " + v.Database + " by " + s.node}, values)
}

// statements returns statements with the given texts and without parameters.
func statements(texts ...string) []querytable.Statement {
	var statements []querytable.Statement
	for _, t := range texts {
		statements = append(statements, querytable.Statement{Text: t})
	}
	return statements
}
