// Command standins plays the cases of the review. It starts the two programs of the project
// as separate processes on loopback addresses, and stands in for everything around them:
// the databases of one or more services, the platform that changes a primary, the operator
// and the clients. It writes what was sent, answered and run to a record, and exits with 1
// if the rule of the case was broken, with 0 if it was kept and with 2 if the case could not
// be played.
//
//	standins -case NAME -record FILE
//
// The scripts of the cases state how to play a case without its disruption.
package main
