// Package transport carries envelopes between processes over drpc streams (design 2.3).
//
// Delivery is best effort and at most once: an envelope may be lost when a connection
// breaks, when a peer is unreachable, or when the queue to a slow peer is full. The
// transport retransmits nothing; the cores send again what has to arrive. Envelopes over
// one connection arrive in order. Sending never blocks, and a slow peer delays no other
// peer.
package transport
