package coordinator

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
	"stoneford/statemachine"
)

// A voter that returns, or a node that starts, repeats its requests until it has received
// the state. If the state is large and the link slow, each response would be queued behind
// earlier responses with the same content, and the queue would grow faster than it drains.
// Therefore, a message of at least largeMessageBytes is sent to a process again only once
// the previous one is known to have arrived, or has had the time that its transfer takes
// at largeMessageBytesPerSecond. Any message may be lost (design 2.3), so leaving one out
// only causes a repetition.
const (
	largeMessageBytes = 32 << 10
	// largeMessageBytesPerSecond is a quarter of 2 Mbit/s, because several processes
	// respond to the same process.
	largeMessageBytesPerSecond = 2_000_000 / 8 / 4
)

// largeMessageKind distinguishes the messages that are paced separately.
type largeMessageKind int

const (
	largeUpdate          largeMessageKind = iota // a poll response with data
	largeState                                   // a StateResponse
	largePrepareResponse                         // a response to a prepare with a large value
)

// pacingKey identifies a stream of large messages that is paced on its own.
type pacingKey struct {
	to   string
	kind largeMessageKind
	// membership is the number of the membership for which a state is transferred, because
	// each membership needs its own transfer.
	membership uint64
}

// pacedMessage is the newest large message of a stream.
type pacedMessage struct {
	pacedUntil   int64  // time until which no other message of the stream is sent
	changeNumber uint64 // newest change in the message
}

// pacing holds the large messages that this process sent recently.
type pacing map[pacingKey]pacedMessage

// admit reports whether a message may be sent now. If so, it records a large message as
// sent.
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

// delivered records that a process has received all changes up to a number.
func (p pacing) delivered(to string, changeNumber uint64) {
	key := pacingKey{to: to, kind: largeUpdate}
	if sent, ok := p[key]; ok && changeNumber >= sent.changeNumber {
		delete(p, key)
	}
}

// forget removes the messages to a process that restarted, because messages in flight to
// its previous run are lost.
func (p pacing) forget(to string) {
	maps.DeleteFunc(p, func(key pacingKey, _ pacedMessage) bool { return key.to == to })
}

// admitResponse reports whether a message may be sent now. It paces the acceptor's
// responses that contain register values and admits all others.
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
