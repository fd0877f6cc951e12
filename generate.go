// Package stoneford is a database pooler with failover. Its parts are the
// packages below this one; docs/design.md says how they act together.
package stoneford

//go:generate go run ./tools/generate-schema
//go:generate go run ./tools/generate-docs
