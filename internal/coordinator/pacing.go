package coordinator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
	"stoneford/statemachine"
)

// A voter that was away, or a node that starts, asks again until it has what it asked
// for. Where that is large and the link slow, each response would join a queue of others
// that say the same, and the queue would grow faster than it empties. So a message of
// largeMessageBytes or more is sent to a process again only once the one before it is
// known to have arrived, or has had the time that it takes at
// largeMessageBytesPerSecond. Any message may be lost (design 2.3), so one that is left
// out costs a repetition and nothing else.
const (
	largeMessageBytes = 32 << 10
	// largeMessageBytesPerSecond is a quarter of 2 Mbit/s, since several processes
	// answer one.
	largeMessageBytesPerSecond = 2_000_000 / 8 / 4
)

// largeMessageKind distinguishes the messages that are paced separately.
type largeMessageKind int

const (
	largeUpdate          largeMessageKind = iota // a poll response with data
	largeState                                   // a StateResponse
	largePrepareResponse                         // with a large value
)

// pacingKey is one stream of large messages.
type pacingKey struct {
	to   string
	kind largeMessageKind
	// membership is the one for which a state is handed over: each needs its own.
	membership uint64
}

// pacedMessage is the newest large message of a stream.
type pacedMessage struct {
	pacedUntil   int64  // when it has had its time
	changeNumber uint64 // newest change in it
}

// pacing is what a process knows of the large messages that it sent lately.
type pacing map[pacingKey]pacedMessage

// admit reports whether a message may be sent now, and notes it if so.
func (p pacing) admit(now int64, key pacingKey, message *schema.Envelope, changeNumber uint64) bool {
	size := int64(proto.Size(message))
	if size < largeMessageBytes {
		return true
	}
	if now < p[key].pacedUntil {
		return false
	}
	maps.DeleteFunc(p, func(_ pacingKey, sent pacedMessage) bool { return now >= sent.pacedUntil })
	p[key] = pacedMessage{pacedUntil: now + size*1_000_000/largeMessageBytesPerSecond, changeNumber: changeNumber}
	return true
}

// delivered notes that a process has received all changes up to a number.
func (p pacing) delivered(to string, changeNumber uint64) {
	key := pacingKey{to: to, kind: largeUpdate}
	if sent, ok := p[key]; ok && changeNumber >= sent.changeNumber {
		delete(p, key)
	}
}

// forget notes that a process started anew: what was on its way to it is lost.
func (p pacing) forget(to string) {
	maps.DeleteFunc(p, func(key pacingKey, _ pacedMessage) bool { return key.to == to })
}

// admitResponse paces the acceptor's responses that carry what it holds.
func (p pacing) admitResponse(now int64, message statemachine.Send) bool {
	switch {
	case message.Envelope.GetStateResponse() != nil:
		key := pacingKey{to: message.To, kind: largeState, membership: message.Envelope.GetStateResponse().Membership}
		return p.admit(now, key, message.Envelope, 0)
	case message.Envelope.GetPromise() != nil:
		return p.admit(now, pacingKey{to: message.To, kind: largePrepareResponse}, message.Envelope, 0)
	}
	return true
}
