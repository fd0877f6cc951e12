// Package transport carries envelopes between processes over drpc streams (design 2.3).
//
// Delivery is best effort and at most once: an envelope may be lost when a connection
// breaks, when a peer is unreachable, or when the queue towards a slow peer is full.
// Nothing is retransmitted; the cores repeat what matters. Envelopes over one connection
// arrive in order. Sending never blocks, and one slow peer delays no other.
package transport
