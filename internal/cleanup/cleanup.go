// Package cleanup holds deferred clean-up stacks.
package cleanup

import "github.com/zeebo/errs"

// Stack runs what was pushed in reverse order.
type Stack struct{ fs []func() error }

// Push defers f until Run.
func (s *Stack) Push(f func() error) { s.fs = append(s.fs, f) }

// Run runs everything once and returns all errors together.
func (s *Stack) Run() error {
	var g errs.Group
	for len(s.fs) > 0 {
		f := s.fs[len(s.fs)-1]
		s.fs = s.fs[:len(s.fs)-1]
		g.Add(f())
	}
	return g.Err()
}
