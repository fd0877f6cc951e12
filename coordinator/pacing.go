package coordinator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
	"stoneford/step"
)

// A voter that was away, or a node that starts, asks again until it has what it
// asked for. Where that is large and the way slow, each answer would join a line
// of others that say the same, and the line would grow faster than it empties. So
// an envelope of heavyBytes or more is sent to a process again only once the one
// before it is known to have come, or had its time at heavyPerS: a quarter of
// 2 Mbit/s, since several processes answer one. Every envelope may be lost
// (design 2.3), so one that is left out costs its repetition only.
const (
	heavyBytes = 32 << 10
	heavyPerS  = 2_000_000 / 8 / 4
)

// heavyKind tells apart what is paced by itself.
type heavyKind int

const (
	heavyNews heavyKind = iota
	heavyState
	heavyPromise
)

type heavyTo struct {
	to   string
	kind heavyKind
	// membership is that for which a state is handed over: each needs one of its own.
	membership uint64
}

// heavySent is the newest heavy envelope of a kind to a process.
type heavySent struct {
	until int64  // when it had its time
	seq   uint64 // of the news in it
}

// pacing is what a process knows of the heavy envelopes that it sent lately.
type pacing map[heavyTo]heavySent

// may says whether an envelope may leave now, and notes it if it does.
func (p pacing) may(now int64, k heavyTo, e *schema.Envelope, seq uint64) bool {
	n := int64(proto.Size(e))
	if n < heavyBytes {
		return true
	}
	if now < p[k].until {
		return false
	}
	maps.DeleteFunc(p, func(_ heavyTo, sent heavySent) bool { return now >= sent.until })
	p[k] = heavySent{until: now + n*1_000_000/heavyPerS, seq: seq}
	return true
}

// came notes that a process has the news up to a place.
func (p pacing) came(to string, seq uint64) {
	k := heavyTo{to: to, kind: heavyNews}
	if h, ok := p[k]; ok && seq >= h.seq {
		delete(p, k)
	}
}

// forget notes that a process began anew: what was on its way is lost.
func (p pacing) forget(to string) {
	maps.DeleteFunc(p, func(k heavyTo, _ heavySent) bool { return k.to == to })
}

// mayAnswer paces the answers of a voter that bring what it holds.
func (p pacing) mayAnswer(now int64, s step.Send) bool {
	switch {
	case s.Env.GetStateResponse() != nil:
		return p.may(now, heavyTo{to: s.To, kind: heavyState, membership: s.Env.GetStateResponse().Membership}, s.Env, 0)
	case s.Env.GetPromise() != nil:
		return p.may(now, heavyTo{to: s.To, kind: heavyPromise}, s.Env, 0)
	}
	return true
}
