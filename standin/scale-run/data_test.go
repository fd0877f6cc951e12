package main

import (
	"context"
	"net"
	"slices"
	"testing"
)

func TestNumbers(t *testing.T) {
	if n := numbers("10,x,0,690"); !slices.Equal(n, []int{10, 690}) {
		t.Error(n)
	}
}

// TestDatabaseRepliesOnceToEach speaks with the wire's stand-in as a caller does.
func TestDatabaseRepliesOnceToEach(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := &database{}
	go d.serve(ln)
	x, err := dial(context.Background(), ln.Addr().String(), "service")
	if err != nil {
		t.Fatal(err)
	}
	defer x.c.Close()
	for n := range int64(10) {
		if err := x.statement(n); err != nil {
			t.Fatal(n, err)
		}
	}
	if d.number.Load() != 2 || d.open.Load() != 1 {
		t.Error(d.number.Load(), d.open.Load())
	}
}

func TestFreshnessState(t *testing.T) {
	f := freshnessState()
	if few, many := f["310 groups, 16 pending commits each: KB a group"], f["310 groups, 4096 pending commits each: KB a group"]; few <= 0 || many < 10*few {
		t.Error(f)
	}
}
