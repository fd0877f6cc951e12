package sessiontable

import (
	"testing"

	"stoneford/ports"
)

// TestAnAnswerThatNobodyAskedFor ends its connection and is given to nobody.
func TestAnAnswerThatNobodyAskedFor(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.ask(1, ports.Read)
	s := x.sent()
	x.answers(s, 10)
	x.wants(ports.Done, ports.Idle)
	out := x.step(Answered{Conn: s.Conn, Answer: ports.Answer{Stamped: true, Body: []byte("another's")}})
	if l := find[Close](out); len(l) != 1 || l[0].Conn != s.Conn || len(find[Reply](out)) > 0 {
		t.Fatalf("%+v", out)
	}
	x.ask(1, ports.Read)
	if n := x.sent(); n.Conn == s.Conn {
		t.Fatal("the connection is used again")
	}
}

// TestALateAnswerOfAReadThatWentElsewhere: a database is silent, the read goes to
// a second one and is answered there; what the first one says of it later is
// given to nobody, also not to the session's next statement.
func TestALateAnswerOfAReadThatWentElsewhere(t *testing.T) {
	x := newBench(t, Options{})
	x.open(1, "c")
	x.open(2, "b")
	x.ask(1, ports.Write)
	x.answers(x.sent(), 10)
	x.ask(2, ports.Read)
	first := x.sent()
	var second Send
	for _, c := range find[Connect](x.pass(400_000)) { // it is silent
		for _, s := range find[Send](x.step(Connected{Conn: c.Conn, Position: ports.Position{Term: 1, Number: 10}})) {
			second = s
		}
	}
	if second.Conn == 0 || second.Conn == first.Conn {
		t.Fatalf("it went nowhere else: %+v, %+v", first, second)
	}
	x.answers(second, 10)
	if r := x.reply(); r.Session != 2 || r.Reply.Code != ports.Done {
		t.Fatalf("%+v", r)
	}
	x.ask(2, ports.Read)
	late := x.step(Answered{Conn: first.Conn, Answer: ports.Answer{Stamped: true, Body: []byte("late"), Position: ports.Position{Term: 1, Number: 10}}})
	if len(find[Reply](late)) > 0 {
		t.Fatalf("the next statement was told %+v", late)
	}
}

// TestACallerThatLeavesAndTheNext: what a caller's statement comes to after it
// left is told to nobody, whoever came after it.
func TestACallerThatLeavesAndTheNext(t *testing.T) {
	for _, k := range []ports.Kind{ports.Read, ports.Write} {
		x := newBench(t, Options{})
		x.open(1, "c")
		if k == ports.Write {
			x.ask(1, k, "", "w", "w")
		} else {
			x.ask(1, k)
		}
		s := x.sent()
		x.step(Left{Session: 1})
		x.open(2, "c")
		x.ask(2, ports.Read)
		x.answers(s, 11)
		for _, r := range find[Reply](x.out) {
			if r.Session != 2 || string(r.Reply.Body) == s.Ops[0].St.ID {
				t.Fatalf("kind %d: %+v", k, r)
			}
		}
		x.step(Asked{Session: 1, St: ports.Statement{ID: "late", Kind: ports.Read}}) // crossed its end
		if len(x.out) > 0 {
			t.Fatalf("%+v", x.out)
		}
	}
}
