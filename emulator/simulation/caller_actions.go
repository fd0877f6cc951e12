package simulation

import (
	"fmt"
	"strconv"

	"stoneford/emulator/checker"
	"stoneford/internal/querytable"
	"stoneford/result"
)

// callerPatienceUs is the time for which a caller retries an action.
const callerPatienceUs = 5_000_000

// RetryAfterRejection describes an action after its first rejection that had a retry delay.
type RetryAfterRejection struct {
	RetryAfterUs int64 // retry delay of the rejection, in microseconds
	TookUs       int64 // from the rejection to the start of the attempt that succeeded, in microseconds; -1 if none did
	Attempts     int   // number of all attempts of the action
}

// isRetryable reports whether a caller retries after a reply.
func isRetryable(r querytable.Reply) bool {
	return r.Code.Retryable() || r.Code == result.UnknownSession || r.Code == result.TransactionLost
}

// callerAction is an action of a session, which is retried while the caller's patience
// lasts.
type callerAction struct {
	session  *session
	kind     string
	tryOnce  func(end func(querytable.Reply)) // makes one attempt and calls end with the reply
	done     func()
	startUs  int64
	attempts int

	firstRejection result.Code // code of the first rejection with a retry delay; OK if there was none
	rejectedUs     int64       // time of that rejection
	retry          RetryAfterRejection
}

// attempt makes the first attempt of an action and retries it while its replies are
// retryable and the caller's patience lasts. Then it calls done.
func (s *session) attempt(kind string, done func(), tryOnce func(end func(querytable.Reply))) {
	a := &callerAction{session: s, kind: kind, tryOnce: tryOnce, done: done, startUs: s.fleet.Now, firstRejection: result.OK}
	a.attempt()
}

func (a *callerAction) attempt() {
	a.attempts++
	attemptUs := a.session.fleet.Now
	a.tryOnce(func(r querytable.Reply) { a.attemptEnded(attemptUs, r) })
}

// attemptEnded handles the reply to an attempt that began at attemptUs.
func (a *callerAction) attemptEnded(attemptUs int64, r querytable.Reply) {
	f := a.session.fleet
	if a.firstRejection == result.OK && r.Code.Retryable() && r.RetryAfterUs > 0 {
		a.firstRejection, a.retry.RetryAfterUs, a.rejectedUs = r.Code, r.RetryAfterUs, f.Now
	}
	if isRetryable(r) && f.Now-a.startUs < callerPatienceUs && !f.halted {
		f.After(r.RetryAfterUs, a.attempt)
		return
	}
	if first := a.firstRejection; first != result.OK && !f.halted {
		a.retry.Attempts, a.retry.TookUs = a.attempts, -1
		if r.Outcome == result.Done {
			a.retry.TookUs = attemptUs - a.rejectedUs
		}
		f.Oracle.RetriesAfterRejection[first] = append(f.Oracle.RetriesAfterRejection[first], a.retry)
	}
	a.session.recordSample(a.kind, a.startUs, a.attempts, r)
	a.done()
}

// recordSample adds an action that has ended to the oracle's samples.
func (s *session) recordSample(kind string, startUs int64, attempts int, r querytable.Reply) {
	s.fleet.Oracle.Samples = append(s.fleet.Oracle.Samples, Sample{Kind: kind, AtUs: startUs, DurationUs: s.fleet.Now - startUs, Outcome: r.Outcome, Code: r.Code, Attempts: attempts, Database: r.Database, OnReplica: r.FromReplica, Group: s.group})
}

// tag returns a new unique tag for a write.
func (s *session) tag() string {
	s.fleet.lastID++
	return "t" + strconv.FormatUint(s.fleet.lastID, 10)
}

// recordWrite passes the outcome of a write to the oracle, and keeps the tag of an
// acknowledged write for later reads.
func (s *session) recordWrite(tag string, o result.Outcome, rows ...string) {
	s.fleet.Oracle.RecordWrite(checker.Write{Route: s.route, Tag: tag, Rows: rows, Outcome: o, AtUs: s.fleet.Now})
	if o == result.Done {
		s.fleet.lastTag[s.route] = tag
	}
}

// recordRead passes the first result of a read to the oracle, with the rows that the read
// must show.
func (s *session) recordRead(kind string, r querytable.Reply, expected []checker.ObservedRow) {
	s.fleet.Oracle.RecordRead(checker.Read{Route: s.route, Kind: kind, Rows: expected, AtUs: s.fleet.Now, ServedBy: fmt.Sprintf("on %s by %s at %d us", r.Database, s.node.boot.Name, s.fleet.Now)}, r.Rows[0])
}
