package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// client is one session at a pool node.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openSession connects to a pool node.
func openSession(m *machine, host string) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.ip+":8784", time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, reader: bufio.NewReader(conn)}
	fmt.Fprintf(conn, "%s %s u1\r\n", names["connect"], host)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := c.reader.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, names["ready"]) {
		err = fmt.Errorf("%s", strings.TrimSpace(line))
	}
	if err != nil {
		conn.Close()
	}
	return c, err
}

// run sends one statement and returns the answer without its last line.
func (c *client) run(id, text string, timeout time.Duration) (answer string, err error) {
	record.logf("client -> %s %s", id, text)
	c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err = fmt.Fprintf(c.conn, "%s %s %s\r\n", names["query"], id, text); err != nil {
		return "", err
	}
	var lines []string
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			record.logf("client <- %s: no answer: %v", id, err)
			return "", err
		}
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, names["ready"]) {
			break
		}
		lines = append(lines, line)
	}
	answer = strings.Join(lines, " / ")
	record.logf("client <- %s: %s", id, answer)
	return answer, nil
}

// succeeded reports whether an answer is a success with a stamp.
func succeeded(answer string) bool {
	i := strings.LastIndex(answer, names["done"]+" ")
	return i >= 0 && !strings.HasSuffix(answer, " -")
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// writer writes through one pool node, one write after the other, until it is stopped.
type writer struct {
	mu           sync.Mutex
	acknowledged []string
	stopped      bool
}

func (w *writer) start(m *machine, host string, gap time.Duration) {
	go func() {
		var c *client
		for !w.isStopped() {
			time.Sleep(gap)
			var err error
			if c == nil {
				if c, err = openSession(m, host); err != nil {
					c = nil
					continue
				}
			}
			id := newID()
			answer, err := c.run(id, names["write"]+" 1a4 "+id, 2500*time.Millisecond)
			if err != nil {
				c.conn.Close()
				c = nil
				continue
			}
			if succeeded(answer) {
				w.mu.Lock()
				w.acknowledged = append(w.acknowledged, id)
				w.mu.Unlock()
			}
		}
		if c != nil {
			c.conn.Close()
		}
	}()
}

func (w *writer) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
}

func (w *writer) isStopped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopped
}

func (w *writer) writes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.acknowledged...)
}
