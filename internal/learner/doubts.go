package learner

import (
	"bytes"
	"maps"
	"slices"

	"stoneford/internal/invariant"
	"stoneford/schema"
)

// Doubts (design 14.4). A process sees that a revision is agreed when a majority of
// the voters stands at one ballot, and it may miss that moment: one of them is lost
// and nobody else accepts the value, or another ballot for the same value overtakes
// the first halfway. Hence whoever doubts asks: a voter that knows what was agreed
// says so, and since that is a fact its word alone is enough.

// maxUnconfirmedPerPoll is how many registers are asked for at a time.
const maxUnconfirmedPerPoll = 64

const (
	// inquiryBackoffFactor is how much later each next voter is asked while no answer came.
	inquiryBackoffFactor = 4
	// maxInquiryDelay is the longest time between two questions.
	maxInquiryDelay = 2_400_000
)

// Learn takes a value that is known to be agreed, under a membership.
func (v *Learner) Learn(now int64, key string, value *schema.Value, membership uint64) {
	if value.GetRevision() == 0 {
		return
	}
	v.now = max(v.now, now)
	v.learn(key, value.Revision, value.Data, membership)
	v.recountLeases()
}

func (v *Learner) learn(key string, revision uint64, data []byte, membership uint64) {
	known := v.committed[key]
	switch {
	case revision < known.Revision:
		return
	case revision == known.Revision:
		if !bytes.Equal(known.Data, data) {
			v.checks.Violated(invariant.CommittedValueChanged, "%s revision %d is known with two contents", key, revision)
		}
		known.Membership = max(known.Membership, membership)
		v.committed[key] = known
		return
	}
	delete(v.missingData, key)
	v.committed[key] = CommittedValue{Revision: revision, Data: data, Membership: membership}
	v.highestSeen[key] = max(v.highestSeen[key], revision)
	v.changedKeys[key] = true
	v.updateUnconfirmed(key)
}

// updateUnconfirmed takes down since when a register is in doubt.
func (v *Learner) updateUnconfirmed(key string) {
	switch {
	case !v.Unconfirmed(key):
		delete(v.unconfirmedSince, key)
	case v.unconfirmedSince[key] == 0:
		v.unconfirmedSince[key] = v.now
	}
}

// unconfirmedInquiry is what the voters are asked of registers in doubt. The answer may be large
// and take seconds, so the next voter is asked ever later while none came.
type unconfirmedInquiry struct {
	askedVoter string // the voter that was asked last
	poll       uint64 // number of the look that asked
	retryAt    int64  // when the next voter is asked
	retryDelay int64  // how long after that the one behind it
}

// dueInquiry are the registers that a voter is to be asked for, each time another voter.
// It also has the bodies of what changes next come from that voter.
func (v *Learner) dueInquiry(now int64) []*schema.KeyRevision {
	if len(v.unconfirmedSince) == 0 {
		v.inquiry = unconfirmedInquiry{retryDelay: unconfirmedTimeout}
		return nil
	}
	if now < v.inquiry.retryAt {
		return nil
	}
	var out []*schema.KeyRevision
	for _, key := range slices.Sorted(maps.Keys(v.unconfirmedSince)) {
		if now-v.unconfirmedSince[key] >= unconfirmedTimeout && len(out) < maxUnconfirmedPerPoll {
			out = append(out, &schema.KeyRevision{Key: key, Revision: v.committed[key].Revision})
		}
	}
	if len(out) > 0 {
		v.dataSourceIndex++
		v.inquiry.retryDelay = min(inquiryBackoffFactor*v.inquiry.retryDelay, maxInquiryDelay)
		v.inquiry.retryAt = now + v.inquiry.retryDelay
		v.inquiry.askedVoter, v.inquiry.poll = v.dataSource(), v.newestPoll
	}
	return out
}

// inquiryAnswered notes that a voter returned a look: if it was asked and did not know, the
// next one is asked without waiting.
func (v *Learner) inquiryAnswered(from string, look uint64) {
	if q := &v.inquiry; q.askedVoter == from && look >= q.poll {
		q.askedVoter, q.retryAt, q.retryDelay = "", v.now, unconfirmedTimeout
	}
}

// majorityHasNewer reports whether a majority of the voters holds something newer of a
// register than what is known here, so that it is agreed or about to be.
func (v *Learner) majorityHasNewer(key string) bool {
	held := 0
	for o, x := range v.voters {
		if v.isActiveVoter(o, x) && x.cells[key].GetValue().GetRevision() > v.committed[key].Revision {
			held++
		}
	}
	return held >= v.membership.Quorum()
}

// checkUnconfirmed holds that what a majority holds is learned soon while a majority returns
// looks, however late.
func (v *Learner) checkUnconfirmed(now int64) {
	if now-v.majorityRespondedAt >= responsiveWindow {
		v.disconnectedAt = now // nobody can be asked, whoever is heard
	}
	for key, since := range v.unconfirmedSince {
		if now-max(since, v.disconnectedAt) >= maxLearnDelay && v.majorityHasNewer(key) {
			v.checks.Violated(invariant.LearnedTooLate, "in doubt for %d ms: %s", (now-since)/1000, v.DescribeRegister(now, key))
		}
	}
}

// Checks are the counts of what has to hold of what this process learned.
func (v *Learner) Checks() *invariant.Checks { return &v.checks }
