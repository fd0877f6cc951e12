// Package mutations has the mutation tests of package simulation: each injects a fault into the
// code under test, and checks that the simulation reports it. They take as long as all other
// tests of the simulation together, and a package's tests have one time limit, so they are a
// package of their own.
package mutations
