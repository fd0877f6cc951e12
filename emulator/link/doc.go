// Package link emulates the network in front of one process by a TCP relay, which can
// partition and delay traffic and reset connections.
package link
