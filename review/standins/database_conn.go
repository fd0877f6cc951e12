package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// databaseConn is one connection to a database.
type databaseConn struct {
	db       *database
	conn     net.Conn
	reader   *bufio.Reader
	prepared map[string]string // name to verb and shape
	inTx     bool
	readOnly bool
	failed   bool
	fresh    bool // no statement has arrived in the transaction yet
	writes   map[string]string
}

// serve serves the connection until either side closes it.
func (c *databaseConn) serve(overload bool) {
	d := c.db
	defer func() {
		c.conn.Close()
		d.service.mu.Lock()
		delete(d.connections, c.conn)
		d.service.mu.Unlock()
	}()
	line, ok := c.readLine()
	fields := strings.Fields(line)
	switch {
	case !ok:
		return
	case len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != d.service.name || len(fields) > 3 && fields[3] != d.id:
		fmt.Fprintf(c.conn, "STMTERR WRONGNODE %s\r\n", d.id)
		return
	case overload:
		fmt.Fprintf(c.conn, "STMTERR OVERLOAD %s\r\n", d.id)
		return
	}
	d.service.mu.Lock()
	ready := c.ready()
	d.service.mu.Unlock()
	fmt.Fprint(c.conn, ready)
	for {
		line, ok := c.readLine()
		parts := strings.SplitN(line, " ", 3)
		if !ok || len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		answer, ok := c.answer(parts[1], parts[2])
		if !ok {
			return
		}
		if _, err := c.conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (c *databaseConn) readLine() (string, bool) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err == nil
}

// ready returns the READY line.
func (c *databaseConn) ready() string {
	state := "I"
	switch {
	case c.failed:
		state = "E"
	case c.inTx:
		state = "T"
	}
	c.db.apply()
	return fmt.Sprintf("READY %s %v\r\n", state, c.db.positionAt(c.db.applied))
}

// answer runs a statement and returns the complete answer, or false if the connection ends.
func (c *databaseConn) answer(id, text string) (string, bool) {
	d := c.db
	d.service.mu.Lock()
	arrived := d.onStatement
	d.service.mu.Unlock()
	if id != "-" && arrived != nil {
		arrived(c, id, text)
	}
	time.Sleep(runTime)
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	if !d.running {
		return "", false
	}
	d.apply()
	result, ok := c.run(id, text)
	if !ok {
		return "", false
	}
	if strings.HasPrefix(result, "STMTERR") && c.inTx && !strings.HasPrefix(result, "STMTERR BUSY") {
		c.failed = true
	}
	if id != "-" {
		d.service.world.record.add("%s (%v) runs %s %s -> %s", d.id, d.positionAt(d.applied), id, text, strings.ReplaceAll(result, "\r\n", "; "))
	}
	return result + c.ready(), true
}

// run runs a statement with the service locked and returns its result without READY.
func (c *databaseConn) run(id, text string) (result string, ok bool) {
	d := c.db
	fields := strings.Fields(text)
	if fields[0] == "AFTERPOS" && len(fields) > 2 {
		var p position
		_, _ = fmt.Sscanf(fields[1], "%d.%d", &p.term, &p.number)
		if d.positionAt(d.applied).before(p) {
			return "STMTERR LAGGING " + d.id + "\r\n", true
		}
		fields = fields[2:]
	}
	if c.failed && fields[0] != "COMMIT" && fields[0] != "ABORT" {
		return "STMTERR MALFORMED the transaction failed\r\n", true
	}
	switch fields[0] {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return d.command(fields), true
	case "RESET":
		clear(c.prepared)
		return "COMPLETE -\r\n", true
	case "SETVAR", "RELEASE":
		return "COMPLETE -\r\n", true
	case "PREPARE":
		c.prepared[fields[1]] = fields[2] + " " + fields[3]
		return "COMPLETE -\r\n", true
	case "BEGIN":
		return c.begin(len(fields) > 1), true
	case "COMMIT", "ABORT":
		return c.end(fields[0] == "COMMIT")
	case "FETCH":
		return c.read(id, fields[1]), true
	case "STORE":
		return c.write(fields[1], strings.Join(fields[2:], " "))
	case "EXECUTE":
		verb, shape, known := strings.Cut(c.prepared[fields[1]], " ")
		if !known {
			return "STMTERR NOSTMT " + d.id + "\r\n", true
		}
		if verb == "FETCH" {
			return c.read(id, shape+"/"+fields[2]), true
		}
		return c.write(shape+"/"+fields[2], strings.Join(fields[3:], " "))
	}
	return "STMTERR MALFORMED " + fields[0] + "\r\n", true
}

func (c *databaseConn) begin(readOnly bool) string {
	if !readOnly && !c.db.leader {
		return "STMTERR READONLY " + c.db.id + "\r\n"
	}
	c.inTx, c.readOnly, c.fresh, c.writes = true, readOnly, true, map[string]string{}
	return "COMPLETE -\r\n"
}

// end commits or rolls back the transaction.
func (c *databaseConn) end(commit bool) (result string, ok bool) {
	writes, failed := c.writes, c.failed
	if commit && !failed && len(writes) > 0 && !c.db.leader {
		c.inTx, c.failed, c.writes = false, false, nil
		return "STMTERR READONLY " + c.db.id + "\r\n", true
	}
	c.inTx, c.failed, c.writes = false, false, nil
	switch {
	case !commit:
		return "COMPLETE -\r\n", true
	case failed:
		return "STMTERR ROLLEDBACK " + c.db.id + "\r\n", true
	case len(writes) == 0:
		return "COMPLETE " + c.db.service.nextStamp() + "\r\n", true
	}
	e, ok := c.db.commit(writes)
	return "COMPLETE " + e.stamp + "\r\n", ok
}

func (c *databaseConn) read(id, thing string) string {
	d := c.db
	if c.inTx && !c.readOnly && !d.leader {
		return "STMTERR READONLY " + d.id + "\r\n"
	}
	data, own := c.writes[thing]
	if !own {
		data = d.value(thing)
	}
	stamp := d.service.nextStamp()
	if d.onRead != nil {
		d.onRead(id, thing, stamp, d.positionAt(d.applied))
	}
	return "ROW " + data + "\r\nCOMPLETE " + stamp + "\r\n"
}

func (c *databaseConn) write(thing, data string) (result string, ok bool) {
	d := c.db
	switch {
	case !d.leader:
		return "STMTERR READONLY " + d.id + "\r\n", true
	case c.inTx:
		c.writes[thing] = data
		return "COMPLETE " + d.service.nextStamp() + "\r\n", true
	}
	e, ok := d.commit(map[string]string{thing: data})
	return "COMPLETE " + e.stamp + "\r\n", ok
}
