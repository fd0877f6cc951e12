package coordinator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
	"stoneford/statemachine"
)

// A voter that was away, or a node that starts, asks again until it has what it
// asked for. Where that is large and the way slow, each answer would join a line
// of others that say the same, and the line would grow faster than it empties. So
// an envelope of largeMessageBytes or more is sent to a process again only once the one
// before it is known to have come, or had its time at largeMessageBytesPerSecond: a quarter of
// 2 Mbit/s, since several processes answer one. Every envelope may be lost
// (design 2.3), so one that is left out costs its repetition only.
const (
	largeMessageBytes          = 32 << 10
	largeMessageBytesPerSecond = 2_000_000 / 8 / 4
)

// largeMessageKind tells apart what is paced by itself.
type largeMessageKind int

const (
	largeUpdate largeMessageKind = iota
	largeState
	largePromise
)

type pacingKey struct {
	to   string
	kind largeMessageKind
	// membership is that for which a state is handed over: each needs one of its own.
	membership uint64
}

// pacedMessage is the newest heavy envelope of a kind to a process.
type pacedMessage struct {
	pacedUntil   int64  // when it had its time
	changeNumber uint64 // of the news in it
}

// pacing is what a process knows of the heavy envelopes that it sent lately.
type pacing map[pacingKey]pacedMessage

// admit says whether an envelope may leave now, and notes it if it does.
func (p pacing) admit(now int64, k pacingKey, e *schema.Envelope, seq uint64) bool {
	n := int64(proto.Size(e))
	if n < largeMessageBytes {
		return true
	}
	if now < p[k].pacedUntil {
		return false
	}
	maps.DeleteFunc(p, func(_ pacingKey, sent pacedMessage) bool { return now >= sent.pacedUntil })
	p[k] = pacedMessage{pacedUntil: now + n*1_000_000/largeMessageBytesPerSecond, changeNumber: seq}
	return true
}

// delivered notes that a process has the news up to a place.
func (p pacing) delivered(to string, seq uint64) {
	k := pacingKey{to: to, kind: largeUpdate}
	if h, ok := p[k]; ok && seq >= h.changeNumber {
		delete(p, k)
	}
}

// forget notes that a process began anew: what was on its way is lost.
func (p pacing) forget(to string) {
	maps.DeleteFunc(p, func(k pacingKey, _ pacedMessage) bool { return k.to == to })
}

// admitResponse paces the answers of a voter that bring what it holds.
func (p pacing) admitResponse(now int64, s statemachine.Send) bool {
	switch {
	case s.Envelope.GetStateResponse() != nil:
		return p.admit(now, pacingKey{to: s.To, kind: largeState, membership: s.Envelope.GetStateResponse().Membership}, s.Envelope, 0)
	case s.Envelope.GetPromise() != nil:
		return p.admit(now, pacingKey{to: s.To, kind: largePromise}, s.Envelope, 0)
	}
	return true
}
