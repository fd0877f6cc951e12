package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// databaseServer accepts the connections of one database.
type databaseServer struct {
	database *database
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func (s *databaseServer) start() error {
	listener, err := net.Listen("tcp", s.database.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.conns = listener, map[net.Conn]bool{}
	s.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// stop ends the listener and resets all connections.
func (s *databaseServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for conn := range s.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			c.SetLinger(0)
		}
		conn.Close()
	}
}

// databaseSession is one connection with its transaction.
type databaseSession struct {
	database *database
	state    string
	readOnly bool
	values   map[string]string
	prepared map[string]string // name to the kind of the statement
	writes   []string
	peer     string
}

func (s *databaseServer) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	d := s.database
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || d.isDark() {
		s.waitForEnd(reader)
		return
	}
	if len(fields) < 3 || fields[0] != names["connect"] || fields[1] != d.group.name || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(conn, "%s %s %s\r\n", names["error"], names["wrong"], d.id)
		return
	}
	session := &databaseSession{database: d, state: "I", values: map[string]string{}, prepared: map[string]string{}, peer: fields[2]}
	fmt.Fprint(conn, session.ready())
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		if d.isDark() {
			s.waitForEnd(reader)
			return
		}
		if strings.HasPrefix(line, names["close"]) {
			return
		}
		answer := session.answer(line)
		if answer == "" || d.isDark() {
			s.waitForEnd(reader)
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// waitForEnd reads and drops everything until the connection ends.
func (s *databaseServer) waitForEnd(reader *bufio.Reader) {
	for {
		if _, err := reader.Discard(1); err != nil {
			return
		}
	}
}

func (d *database) isDark() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.dark
}

func (s *databaseSession) ready() string {
	d := s.database
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return fmt.Sprintf("%s %s %d.%d\r\n", names["ready"], s.state, d.term, d.applied)
}

// ran returns the answer to a statement that the database ran, with a stamp.
func (s *databaseSession) ran(rows ...string) string {
	d := s.database
	d.group.mu.Lock()
	d.stamps++
	stamp := fmt.Sprintf("%s.%d", d.id, d.stamps)
	d.group.mu.Unlock()
	var b strings.Builder
	for _, row := range rows {
		fmt.Fprintf(&b, "%s %s\r\n", names["row"], row)
	}
	return b.String() + names["done"] + " " + stamp + "\r\n" + s.ready()
}

func (s *databaseSession) completed() string { return names["done"] + " -\r\n" + s.ready() }

func (s *databaseSession) rejected(code string) string {
	if s.state == "T" {
		s.state, s.writes = "E", nil
	}
	return fmt.Sprintf("%s %s %s\r\n%s", names["error"], names[code], s.database.id, s.ready())
}

// answer runs one message and returns its answer, or "" if the database crashed meanwhile.
func (s *databaseSession) answer(line string) string {
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != names["query"] {
		return s.rejected("bad")
	}
	id, text := fields[1], fields[2:]
	if text[0] != names["status"] {
		record.logf("%s <- %s: %s", s.database.id, s.peer, line)
	}
	answer := s.dispatch(id, text)
	if text[0] != names["status"] {
		record.logf("%s -> %s: %s", s.database.id, s.peer, strings.ReplaceAll(strings.TrimSpace(answer), "\r\n", " / "))
	}
	return answer
}

func (s *databaseSession) dispatch(id string, text []string) string {
	switch text[0] {
	case names["status"], names["freeze"], names["unfreeze"], names["demote"]:
		s.database.command(text)
		return s.database.statusRow() + s.completed()
	case names["abort"]:
		s.state, s.writes = "I", nil
		return s.completed()
	}
	if s.state == "E" {
		if text[0] == names["commit"] {
			s.state = "I"
		}
		return s.rejected("bad")
	}
	switch text[0] {
	case names["reset"]:
		clear(s.values)
		clear(s.prepared)
		return s.completed()
	case names["set"]:
		s.values[text[1]] = strings.Join(text[2:], " ")
		return s.completed()
	case names["prepare"]:
		s.prepared[text[1]] = text[2]
		return s.completed()
	case names["release"]:
		delete(s.prepared, text[1])
		return s.completed()
	}
	return s.runStatement(id, text)
}

// runStatement runs a begin, a commit, a read or a write.
func (s *databaseSession) runStatement(id string, text []string) string {
	if text[0] == names["after"] && len(text) > 2 {
		if !s.database.hasApplied(text[1]) {
			return s.rejected("lagging")
		}
		text = text[2:]
	}
	kind := text[0]
	if kind == names["execute"] {
		if kind = s.prepared[text[1]]; kind == "" {
			return s.rejected("nostmt")
		}
	}
	isPrimary := s.database.isPrimary()
	switch {
	case kind == names["begin"]:
		s.readOnly = len(text) > 1
		if !s.readOnly && !isPrimary {
			return s.rejected("readonly")
		}
		s.state = "T"
		return s.completed()
	case kind == names["commit"]:
		return s.commit(isPrimary)
	case kind == names["write"] && (!isPrimary || s.state == "T" && s.readOnly):
		return s.rejected("readonly")
	case kind == names["write"] && s.state == "T":
		s.writes = append(s.writes, id)
		return s.ran()
	case kind == names["write"]:
		if !s.database.append([]string{id}) {
			return ""
		}
		return s.ran()
	case kind == names["read"]:
		s.database.recordRead(id)
		time.Sleep(time.Duration(s.database.group.readMs.Load()) * time.Millisecond)
		return s.ran("value")
	}
	return s.rejected("bad")
}

func (s *databaseSession) commit(isPrimary bool) string {
	writes := s.writes
	s.state, s.writes = "I", nil
	if len(writes) == 0 {
		return s.ran()
	}
	if !isPrimary {
		return s.rejected("readonly")
	}
	if !s.database.append(writes) {
		return ""
	}
	return s.ran()
}

func (d *database) isPrimary() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.primary
}

func (d *database) hasApplied(position string) bool {
	term, number := parsePosition(position)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.term >= term && d.applied >= number
}

// command runs a freeze, an unfreeze or a demotion.
func (d *database) command(text []string) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	var term uint64
	if len(text) > 1 {
		term, _ = strconv.ParseUint(text[1], 10, 64)
	}
	switch {
	case text[0] == names["freeze"] && !d.primary && term > d.term:
		d.frozenTerm = max(d.frozenTerm, term)
	case text[0] == names["unfreeze"]:
		d.frozenTerm = 0
	case text[0] == names["demote"] && d.primary && term > d.term:
		d.demote()
	}
}

// statusRow returns the row that answers the commands.
func (d *database) statusRow() string {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return fmt.Sprintf("%s %s %d %d.%d %d 0 0 1\r\n", names["row"], d.role(), d.term, d.term, len(d.log), d.frozenTerm)
}

func (d *database) role() string {
	if d.primary {
		return names["leader"]
	}
	return names["follower"]
}

func (d *database) recordRead(id string) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.group.reads[id] = true
	d.readAt = append(d.readAt, time.Now())
}

func parsePosition(position string) (term uint64, number int) {
	first, second, _ := strings.Cut(position, ".")
	term, _ = strconv.ParseUint(first, 10, 64)
	number, _ = strconv.Atoi(second)
	return term, number
}
