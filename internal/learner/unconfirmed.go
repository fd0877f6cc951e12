package learner

import (
	"maps"
	"slices"
	"time"

	"stoneford/internal/invariant"
	"stoneford/schema"
)

// A learner recognizes a committed revision when a majority of the voters has accepted
// it at one ballot. It may miss that state: a voter is lost and no other accepts the
// value, or a second ballot for the same value starts before all voters accepted the
// first. So it asks the voters in turn for the registers that stay unconfirmed
// (design 14.4). A voter that knows the value to be committed sends it; a committed
// value cannot change, so one response is enough.

const (
	// unconfirmedTimeout is the time for which a revision may be unconfirmed, or
	// committed data be missing, before a voter is asked for it. Most revisions are
	// confirmed by the next updates.
	unconfirmedTimeout = 150 * time.Millisecond
	// maxUnconfirmedPerPoll bounds the number of registers in one inquiry.
	maxUnconfirmedPerPoll = 64
	// inquiryBackoffFactor multiplies the delay until the next voter is asked while no
	// response arrives, since a response may be large and take seconds.
	inquiryBackoffFactor = 4
	// maxInquiryDelay bounds the delay until the next voter is asked.
	maxInquiryDelay = 2400 * time.Millisecond
	// responsiveWindow is the maximum age of a voter's last response for the voter to be
	// preferred as a data source.
	responsiveWindow = time.Second
	// maxLearnDelay bounds the time for which a revision that a majority holds may be
	// unconfirmed while a majority answers polls. A longer time violates the invariant
	// LearnedTooLate.
	maxLearnDelay = 3 * time.Second
)

// unconfirmedKeys holds the unconfirmed registers and the inquiry about them.
type unconfirmedKeys struct {
	since   map[string]int64 // start of the unconfirmed state, by key
	inquiry inquiry
}

func newUnconfirmedKeys() unconfirmedKeys {
	return unconfirmedKeys{since: map[string]int64{}, inquiry: newInquiry()}
}

// inquiry is the current request to a voter for unconfirmed registers.
type inquiry struct {
	voter   string // last voter asked, empty once it has answered
	poll    uint64 // number of the poll with the request
	retryAt int64  // time at which the next voter is asked
	delay   int64  // last delay between two requests, grows while no response arrives
}

func newInquiry() inquiry { return inquiry{delay: unconfirmedTimeout.Microseconds()} }

// updateUnconfirmed records the time at which a register became unconfirmed, or removes
// it if the register is confirmed.
func (l *Learner) updateUnconfirmed(key string) {
	switch {
	case !l.Unconfirmed(key):
		delete(l.unconfirmed.since, key)
	case l.unconfirmed.since[key] == 0:
		l.unconfirmed.since[key] = l.now
	}
}

// dueInquiry returns the registers that the newest poll should ask for. Each inquiry goes
// to another voter, which then also becomes the source for the data of changed registers.
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

// inquiryAnswered handles a voter's response to a poll. If the voter had been asked and
// a register is still unconfirmed, the voter does not know its value, so the next voter
// is asked without delay.
func (l *Learner) inquiryAnswered(from string, number uint64) {
	if i := &l.unconfirmed.inquiry; i.voter == from && number >= i.poll {
		i.voter, i.retryAt, i.delay = "", l.now, unconfirmedTimeout.Microseconds()
	}
}

// majorityHasNewer reports whether a majority of the voters holds a revision of a key
// that is newer than the committed one, so a newer revision is committed or soon will be.
func (l *Learner) majorityHasNewer(key string) bool {
	count := 0
	for address, voter := range l.voters {
		if l.isActiveVoter(address, voter) && voter.acceptedRevision(key) > l.registers.committed[key].Revision {
			count++
		}
	}
	return count >= l.membership.Quorum()
}

// checkUnconfirmed checks the invariant that a revision which a majority holds is learned
// within maxLearnDelay while a majority answers polls, even if late.
func (l *Learner) checkUnconfirmed(now int64) {
	if now-l.lease.majorityRespondedAt >= responsiveWindow.Microseconds() {
		l.lease.disconnectedAt = now // without a majority a revision cannot be confirmed
	}
	for key, since := range l.unconfirmed.since {
		if now-max(since, l.lease.disconnectedAt) >= maxLearnDelay.Microseconds() && l.majorityHasNewer(key) {
			l.invariants.Violated(invariant.LearnedTooLate, "unconfirmed for %d ms: %s", (now-since)/1000, l.DescribeRegister(now, key))
		}
	}
}
