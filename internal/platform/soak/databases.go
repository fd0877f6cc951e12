package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// database emulates one database of a service: its primary or a replica that lags. Each
// answer to a read or write is stamped with the name of the database.
type database struct {
	id      string
	service *service
	primary bool
	address string
	lagUs   atomic.Int64 // time after which a replica applies a commit
	shown   atomic.Int64 // greatest result of applied
	calls   atomic.Uint64

	draining       atomic.Bool  // it announces that it drains
	departingSince atomic.Int64 // time of the acknowledgement that it leaves, in Unix µs; 0 before it
	history        *history     // of a database that leaves
}

const (
	// heartbeatInterval is the time between two heartbeats of a database. It is also the
	// value of BeatMs in the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// maxReplicaLag is the maximum time after which a replica applies a commit. It is below
	// sessionStaleness, so only a session's own commits keep its reads from such a replica.
	maxReplicaLag = 2 * time.Second
	// maxServiceTime is the longest time that a database takes for a statement, so that
	// statements are in flight when a process gets a signal.
	maxServiceTime = 40 * time.Millisecond
)

// sendHeartbeats sends heartbeats to a control process until the context is cancelled. When the
// process does not accept one, it continues with the next process.
func (d *database) sendHeartbeats(ctx context.Context, f *fleet) {
	client := newControlClient()
	next := rand.IntN(f.options.controls)
	for ctx.Err() == nil {
		for range f.options.controls {
			if d.sendHeartbeat(ctx, client, f.controls()[next%f.options.controls], d.calls.Add(1)) {
				break
			}
			next++
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// newControlClient returns the client of a database's calls to control processes.
func newControlClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
}

// sendHeartbeat sends the heartbeat with a call number, and reports whether the process
// accepted it.
func (d *database) sendHeartbeat(ctx context.Context, client *http.Client, m *machine, number uint64) bool {
	draining := d.draining.Load()
	phase := "ready"
	if draining {
		phase = "draining"
	}
	b, err := json.Marshal(map[string]any{"Backend": d.service.name, "Address": d.address, "Zone": "zone-1", "Revision": "v1", "Capacity": 8,
		"Phase": phase, "WarmupLeftMs": 0, "DbRole": d.role(), "CallSeq": number})
	if err != nil {
		return false
	}
	accepted := d.call(ctx, client, m, "Instances.Heartbeat", bytes.NewReader(b))
	if accepted && draining {
		d.acknowledgeDeparture()
	}
	return accepted
}

// call sends a call about the database to a control process, and reports whether the process
// accepted it.
func (d *database) call(ctx context.Context, client *http.Client, m *machine, method string, body io.Reader) bool {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address(m.ip, controlAPIPort)+"/stoneford/"+method+"/"+d.id, body)
	if err != nil {
		return false
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := client.Do(httpRequest)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// role returns the database's role as it is announced.
func (d *database) role() string {
	if d.primary {
		return "leader"
	}
	return "follower"
}

// varyLag draws a replica's lag anew from time to time, until the context is cancelled.
func (d *database) varyLag(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		d.lagUs.Store(random.Int64N(maxReplicaLag.Microseconds()))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(500+random.IntN(3000)) * time.Millisecond):
		}
	}
}

// applied returns the number of the service's commits that the database shows to reads. It
// never decreases, whatever becomes of the lag.
func (d *database) applied() int {
	at := time.Now()
	if !d.primary {
		at = at.Add(-time.Duration(d.lagUs.Load()) * time.Microsecond)
	}
	n := int64(d.service.commitsBefore(at))
	for {
		shown := d.shown.Load()
		if n <= shown || d.shown.CompareAndSwap(shown, n) {
			return int(max(n, shown))
		}
	}
}

// serve starts accepting connections until the context is cancelled.
func (d *database) serve(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", d.address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serveConnection(ctx, conn)
		}
	}()
	return nil
}

// serveConnection serves one connection until either side closes it.
func (d *database) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	reader := bufio.NewReader(conn)
	fields := readFields(reader)
	if len(fields) < 2 || fields[0] != "CONNECT" || fields[1] != d.service.name || len(fields) > 3 && fields[3] != d.id {
		fmt.Fprintf(conn, "STMTERR WRONGNODE %s\r\n", d.id)
		return
	}
	c := databaseConnection{database: d, state: stateIdle}
	fmt.Fprint(conn, c.ready())
	for {
		fields := readFields(reader)
		if len(fields) < 3 || fields[0] != "QUERY" {
			return
		}
		d.checkStatement(c.state, fields[2:])
		if fields[2] != "STATUS" {
			time.Sleep(rand.N(maxServiceTime))
		}
		if _, err := conn.Write([]byte(c.reply(fields[2:]))); err != nil {
			return
		}
	}
}
