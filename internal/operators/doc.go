// Package operators implements a client of the HTTP interface that control processes
// serve to operators (docs/operating.md). The command line uses it.
//
// A change that a control process may have received is not sent again. After an error it
// is unknown whether the change took effect, and the operator has to read the
// configuration before trying again.
package operators
