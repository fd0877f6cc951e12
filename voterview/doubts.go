package voterview

import (
	"bytes"
	"maps"
	"slices"

	"stoneford/invariant"
	"stoneford/schema"
)

// Doubts (design 14.4). A process sees that a revision is agreed when a majority of
// the voters stands at one ballot, and it may miss that moment: one of them is lost
// and nobody else accepts the value, or another ballot for the same value overtakes
// the first halfway. Hence whoever doubts asks: a voter that knows what was agreed
// says so, and since that is a fact its word alone is enough.

// mostDoubts is how many registers are asked for at a time.
const mostDoubts = 64

const (
	// askFactor is how much later each next voter is asked while no answer came.
	askFactor = 4
	// mostAskWait is the longest time between two questions.
	mostAskWait = 2_400_000
)

// Learn takes a value that is known to be agreed, under a membership.
func (v *View) Learn(now int64, key string, value *schema.Value, membership uint64) {
	if value.GetRevision() == 0 {
		return
	}
	v.now = max(v.now, now)
	v.learn(key, value.Revision, value.Data, membership)
	v.leaseAnew()
}

func (v *View) learn(key string, revision uint64, data []byte, membership uint64) {
	known := v.chosen[key]
	switch {
	case revision < known.Revision:
		return
	case revision == known.Revision:
		if !bytes.Equal(known.Data, data) {
			v.checks.Broken(invariant.AgreedChanged, "%s revision %d is known with two contents", key, revision)
		}
		known.Membership = max(known.Membership, membership)
		v.chosen[key] = known
		return
	}
	delete(v.missing, key)
	v.chosen[key] = Chosen{Revision: revision, Data: data, Membership: membership}
	v.seen[key] = max(v.seen[key], revision)
	v.changed[key] = true
	v.noteDoubt(key)
}

// noteDoubt takes down since when a register is in doubt.
func (v *View) noteDoubt(key string) {
	switch {
	case !v.Doubt(key):
		delete(v.doubted, key)
	case v.doubted[key] == 0:
		v.doubted[key] = v.now
	}
}

// question is what the voters are asked of registers in doubt. The answer may be large
// and take seconds, so the next voter is asked ever later while none came.
type question struct {
	to    string // the voter that was asked last
	look  uint64 // number of the look that asked
	again int64  // when the next voter is asked
	wait  int64  // how long after that the one behind it
}

// doubts are the registers that a voter is to be asked for, each time another voter.
// It also has the bodies of what changes next come from that voter.
func (v *View) doubts(now int64) []*schema.Held {
	if len(v.doubted) == 0 {
		v.question = question{wait: doubtWait}
		return nil
	}
	if now < v.question.again {
		return nil
	}
	var out []*schema.Held
	for _, key := range slices.Sorted(maps.Keys(v.doubted)) {
		if now-v.doubted[key] >= doubtWait && len(out) < mostDoubts {
			out = append(out, &schema.Held{Key: key, Revision: v.chosen[key].Revision})
		}
	}
	if len(out) > 0 {
		v.body++
		v.question.wait = min(askFactor*v.question.wait, mostAskWait)
		v.question.again = now + v.question.wait
		v.question.to, v.question.look = v.bodyFrom(), v.number
	}
	return out
}

// answered notes that a voter returned a look: if it was asked and did not know, the
// next one is asked without waiting.
func (v *View) answered(from string, look uint64) {
	if q := &v.question; q.to == from && look >= q.look {
		q.to, q.again, q.wait = "", v.now, doubtWait
	}
}

// newerHeld reports whether a majority of the voters holds something newer of a
// register than what is known here, so that it is agreed or about to be.
func (v *View) newerHeld(key string) bool {
	held := 0
	for o, x := range v.vs {
		if v.counts(o, x) && x.cells[key].GetValue().GetRevision() > v.chosen[key].Revision {
			held++
		}
	}
	return held >= v.membership.Quorum()
}

// checkDoubts holds that what a majority holds is learned soon while a majority returns
// looks, however late.
func (v *View) checkDoubts(now int64) {
	if now-v.answeredAt >= heardLately {
		v.apart = now // nobody can be asked, whoever is heard
	}
	for key, since := range v.doubted {
		if now-max(since, v.apart) >= learnWithin && v.newerHeld(key) {
			v.checks.Broken(invariant.LearnedLate, "in doubt for %d ms: %s", (now-since)/1000, v.Standing(now, key))
		}
	}
}

// Checks are the counts of what has to hold of what this process learned.
func (v *View) Checks() *invariant.Checks { return &v.checks }
