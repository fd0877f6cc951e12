// Package replay sends the calls of callers that a HAR file recorded to a pool node
// again, for operators who reproduce what callers saw.
//
// Read checks the complete file first: nothing of a file with an error is sent. Send
// sends each entry once, in the order of their times.
package replay
