package sessiontable

import (
	"testing"

	"stoneford/internal/ports"
)

// TestUnsolicitedAnswerClosesConnection ends its connection and is given to nobody.
func TestUnsolicitedAnswerClosesConnection(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.send(1, ports.Read)
	s := bench.sentOps()
	bench.answerDone(s, 10)
	bench.expectReply(ports.Done, ports.Idle)
	out := bench.step(AnswerReceived{Conn: s.Conn, Answer: ports.Response{Stamped: true, Body: []byte("another's")}})
	if l := find[CloseConnection](out); len(l) != 1 || l[0].Conn != s.Conn || len(find[Reply](out)) > 0 {
		t.Fatalf("%+v", out)
	}
	bench.send(1, ports.Read)
	if n := bench.sentOps(); n.Conn == s.Conn {
		t.Fatal("the connection is used again")
	}
}

// TestLateAnswerOfRetriedRead: a database is silent, the read goes to
// a second one and is answered there; what the first one says of it later is
// given to nobody, also not to the session's next statement.
func TestLateAnswerOfRetriedRead(t *testing.T) {
	bench := newBench(t, Options{})
	bench.open(1, "c")
	bench.open(2, "b")
	bench.send(1, ports.Write)
	bench.answerDone(bench.sentOps(), 10)
	bench.send(2, ports.Read)
	first := bench.sentOps()
	var second Send
	for _, c := range find[Connect](bench.pass(400_000)) { // it is silent
		for _, s := range find[Send](bench.step(ConnectEnded{Conn: c.Conn, Position: ports.Position{Term: 1, Number: 10}})) {
			second = s
		}
	}
	if second.Conn == 0 || second.Conn == first.Conn {
		t.Fatalf("it went nowhere else: %+v, %+v", first, second)
	}
	bench.answerDone(second, 10)
	if r := bench.reply(); r.Session != 2 || r.Reply.Code != ports.Done {
		t.Fatalf("%+v", r)
	}
	bench.send(2, ports.Read)
	late := bench.step(AnswerReceived{Conn: first.Conn, Answer: ports.Response{Stamped: true, Body: []byte("late"), Position: ports.Position{Term: 1, Number: 10}}})
	if len(find[Reply](late)) > 0 {
		t.Fatalf("the next statement was told %+v", late)
	}
}

// TestClosedSessionsAnswerGoesToNobody: what a caller's statement comes to after it
// left is told to nobody, whoever came after it.
func TestClosedSessionsAnswerGoesToNobody(t *testing.T) {
	for _, k := range []ports.StatementKind{ports.Read, ports.Write} {
		bench := newBench(t, Options{})
		bench.open(1, "c")
		if k == ports.Write {
			bench.send(1, k, "", "w", "w")
		} else {
			bench.send(1, k)
		}
		s := bench.sentOps()
		bench.step(SessionClosed{Session: 1})
		bench.open(2, "c")
		bench.send(2, ports.Read)
		bench.answerDone(s, 11)
		for _, r := range find[Reply](bench.effects) {
			if r.Session != 2 || string(r.Reply.Body) == s.Ops[0].Statement.ID {
				t.Fatalf("kind %d: %+v", k, r)
			}
		}
		bench.step(StatementReceived{Session: 1, Statement: ports.Statement{ID: "late", Kind: ports.Read}}) // crossed its end
		if len(bench.effects) > 0 {
			t.Fatalf("%+v", bench.effects)
		}
	}
}
