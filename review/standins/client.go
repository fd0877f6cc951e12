package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// answer is the answer to a statement.
type answer struct {
	row   string
	stamp string // of a success
	code  string // of an error
	state string
	ok    bool // a complete answer arrived
	sent  time.Time
	ended time.Time
}

// session is one client's session at a pool node.
type session struct {
	world  *world
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// openSession opens a session for a host at a pool node.
func (w *world) openSession(m *machine, host, name string) (*session, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, w.ports.front), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{world: w, name: name, conn: conn, reader: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "CONNECT %s %s\r\n", host, name)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, x("{ready}")) {
		conn.Close()
		return nil, fmt.Errorf("session at %s for %s: %q %v", m.name, host, line, err)
	}
	return s, nil
}

// query sends a statement and waits for its answer.
func (s *session) query(text string) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	a := answer{sent: time.Now()}
	if _, err := fmt.Fprintf(s.conn, x("{query} %s %s\r\n"), id, text); err != nil {
		return a
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			break
		}
		verb, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch verb {
		case "ROW":
			a.row = rest
		case x("{complete}"):
			a.stamp = rest
		case x("{stmterr}"):
			a.code = rest
		case x("{ready}"):
			a.state, a.ok, a.ended = rest, true, time.Now()
			s.world.record.add("%s sent %s %s at %.3f; answer: row %q stamp %q error %q state %s", s.name, id, text,
				a.sent.Sub(s.world.record.started).Seconds(), a.row, a.stamp, a.code, a.state)
			return a
		}
	}
	s.world.record.add("%s sent %s %s; no answer", s.name, id, text)
	return a
}

// succeeded reports whether the statement was answered with a stamp.
func (a answer) succeeded() bool { return a.ok && a.code == "" && a.stamp != "" && a.stamp != "-" }

func (s *session) close() {
	fmt.Fprint(s.conn, "CLOSE\r\n")
	s.conn.Close()
}
