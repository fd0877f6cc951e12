// Package replay sends callers' calls that were recorded in a HAR file to a pool node
// again, so that operators can reproduce what callers observed.
//
// Read checks the complete file, so that no call of a file with an error is sent. Send
// sends each call once, in the order of the recorded times.
package replay
