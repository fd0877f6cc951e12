// Package link emulates the network in front of one process: a TCP relay that can be
// partitioned, made lossy, or have its connections reset.
package link
