// Package operators is the client of the HTTP interface that control processes
// serve to operators (docs/operating.md). It is used by the command line.
//
// A change is sent at most once to a control process that may have received it:
// whether it took effect is unknown after an error, and the operator has to read
// before trying again.
package operators
