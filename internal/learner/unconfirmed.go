package learner

import (
	"maps"
	"slices"
	"time"

	"stoneford/internal/invariant"
	"stoneford/schema"
)

// A learner sees that a revision is committed when a majority of the voters is at
// one ballot, and it may miss that moment: a voter is lost and no other accepts the
// value, or another ballot for the same value overtakes the first halfway. So it asks
// the voters, one after the other, for what stays unconfirmed (design 14.4). One that
// knows the value to be committed sends it; since that is a fact, its answer alone is
// enough.

const (
	// unconfirmedTimeout is how long a revision may stay unconfirmed, or committed data
	// be missing, until a voter is asked for it. Most are confirmed by the next updates.
	unconfirmedTimeout = 150 * time.Millisecond
	// maxUnconfirmedPerPoll is how many registers are asked for at a time.
	maxUnconfirmedPerPoll = 64
	// inquiryBackoffFactor is how much longer than before the next voter is waited for
	// while no answer came: an answer may be large and take seconds.
	inquiryBackoffFactor = 4
	// maxInquiryDelay bounds that.
	maxInquiryDelay = 2400 * time.Millisecond
	// responsiveWindow is how long ago a voter that is asked for data has answered at
	// most, if any has.
	responsiveWindow = time.Second
	// maxLearnDelay bounds how long a revision that a majority holds stays unconfirmed
	// while a majority answers. Beyond it the invariant LearnedTooLate is broken.
	maxLearnDelay = 3 * time.Second
)

// unconfirmedKeys are the registers that are unconfirmed, and the inquiry about them.
type unconfirmedKeys struct {
	since   map[string]int64
	inquiry inquiry
}

func newUnconfirmedKeys() unconfirmedKeys {
	return unconfirmedKeys{since: map[string]int64{}, inquiry: newInquiry()}
}

// inquiry is the question for unconfirmed registers that is under way.
type inquiry struct {
	voter   string // that was asked last, empty if it has answered
	poll    uint64 // number of the poll that asked
	retryAt int64  // when the next voter is asked
	delay   int64  // how long after that the one behind it
}

func newInquiry() inquiry { return inquiry{delay: unconfirmedTimeout.Microseconds()} }

// updateUnconfirmed notes since when a register is unconfirmed, or that it is not.
func (l *Learner) updateUnconfirmed(key string) {
	switch {
	case !l.Unconfirmed(key):
		delete(l.unconfirmed.since, key)
	case l.unconfirmed.since[key] == 0:
		l.unconfirmed.since[key] = l.now
	}
}

// dueInquiry returns the registers that the newest poll is to ask for, each time
// another voter. Data of changed registers comes from that voter as well.
func (l *Learner) dueInquiry(now int64) []*schema.KeyRevision {
	u := &l.unconfirmed
	if len(u.since) == 0 {
		u.inquiry = newInquiry()
		return nil
	}
	if now < u.inquiry.retryAt {
		return nil
	}
	var keys []*schema.KeyRevision
	for _, key := range slices.Sorted(maps.Keys(u.since)) {
		if now-u.since[key] >= unconfirmedTimeout.Microseconds() && len(keys) < maxUnconfirmedPerPoll {
			keys = append(keys, &schema.KeyRevision{Key: key, Revision: l.registers.committed[key].Revision})
		}
	}
	if len(keys) > 0 {
		l.dataSourceIndex++
		u.inquiry.delay = min(inquiryBackoffFactor*u.inquiry.delay, maxInquiryDelay.Microseconds())
		u.inquiry.retryAt = now + u.inquiry.delay
		u.inquiry.voter, u.inquiry.poll = l.dataSource(), l.polls.newest
	}
	return keys
}

// inquiryAnswered notes that a voter answered a poll. If it was asked and the register
// is unconfirmed still, it did not know: the next voter is asked without waiting.
func (l *Learner) inquiryAnswered(from string, number uint64) {
	if i := &l.unconfirmed.inquiry; i.voter == from && number >= i.poll {
		i.voter, i.retryAt, i.delay = "", l.now, unconfirmedTimeout.Microseconds()
	}
}

// majorityHasNewer reports whether a majority of the voters holds a newer revision
// of a key than the committed one, so that one is committed or about to be.
func (l *Learner) majorityHasNewer(key string) bool {
	count := 0
	for address, voter := range l.voters {
		if l.isActiveVoter(address, voter) && voter.acceptedRevision(key) > l.registers.committed[key].Revision {
			count++
		}
	}
	return count >= l.membership.Quorum()
}

// checkUnconfirmed checks that what a majority holds is learned within maxLearnDelay
// while a majority answers polls, however late.
func (l *Learner) checkUnconfirmed(now int64) {
	if now-l.lease.majorityRespondedAt >= responsiveWindow.Microseconds() {
		l.lease.disconnectedAt = now // nobody can be asked, whoever is heard
	}
	for key, since := range l.unconfirmed.since {
		if now-max(since, l.lease.disconnectedAt) >= maxLearnDelay.Microseconds() && l.majorityHasNewer(key) {
			l.invariants.Violated(invariant.LearnedTooLate, "unconfirmed for %d ms: %s", (now-since)/1000, l.DescribeRegister(now, key))
		}
	}
}
