// Command site-move moves a group of databases to each of three sites in turn, while
// callers confirm pickups that have unique IDs. It runs three control processes and six
// pool nodes over loopback links, with databases in memory. It prints its measurements as
// JSON and exits with status 1 if a rule of docs/never-happens.md was violated.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"stoneford/internal/coordinator"
	"stoneford/internal/ports"
	"stoneford/internal/sessionpool"
)

const group = "orders"

var sites = []string{"site-a", "site-b", "site-c"}

// options are the parameters of a run.
type options struct {
	Callers           int
	ConfirmInterval   time.Duration // between a caller's confirmations
	RestAfterMove     time.Duration // after each move
	PartitionDuration time.Duration // how long a node's links are partitioned
	WaitTimeout       time.Duration // bound of any wait
}

// moveResult is the result of one move. Times in milliseconds are since the request of the
// move, unless stated otherwise.
type moveResult struct {
	To         string   `json:"to"`
	With       string   `json:"with,omitempty"`   // fault during the move, empty for none
	Failed     []string `json:"failed,omitempty"` // causes of failed attempts, after which the move was requested again
	Table      uint64   `json:"table"`            // revision of the routing table with the move
	Term       uint64   `json:"term"`             // term of the primary after the move
	StagedMs   int64    `json:"stagedMs"`         // when the control processes accepted the move
	AgreedMs   int64    `json:"agreedMs"`         // when the phase "agreed" was observed
	SwitchedMs int64    `json:"switchedMs"`       // when the phase "switched" was observed
	OutageMs   int64    `json:"outageMs"`         // longest gap between acknowledged confirmations
}

// report is the result of a run.
type report struct {
	Callers      int          `json:"callers"`
	Moves        []moveResult `json:"moves"`
	Acknowledged int          `json:"acknowledged"`
	InDoubt      int          `json:"inDoubt"`                 // confirmations of which it is unknown whether they took effect
	Lost         int          `json:"lost"`                    // acknowledged confirmations that are not in the log
	Duplicated   int          `json:"doubled"`                 // confirmations that are in the log more than once
	OlderTable   int          `json:"acceptedUnderOlderTable"` // acknowledged confirmations sent by a table older than a move and accepted after it
	Problems     []string     `json:"problems,omitempty"`
}

func (r report) hasViolations() bool { return r.Lost+r.Duplicated+r.OlderTable+len(r.Problems) > 0 }

func main() {
	var o options
	flag.IntVar(&o.Callers, "callers", 300, "callers")
	flag.DurationVar(&o.ConfirmInterval, "every", 50*time.Millisecond, "mean interval between a caller's confirmations")
	flag.DurationVar(&o.RestAfterMove, "rest", 5*time.Second, "wait after each move")
	flag.DurationVar(&o.PartitionDuration, "frozen", 3*time.Second, "how long a node's links are partitioned")
	flag.DurationVar(&o.WaitTimeout, "longest", 60*time.Second, "longest time that a move, or any other wait, may take")
	flag.Parse()
	log.SetLevel(log.ErrorLevel)
	r, err := run(context.Background(), o)
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	if err = errors.Join(err, e.Encode(r)); err != nil {
		fmt.Fprintln(os.Stderr, "site-move:", err)
	}
	if err != nil || r.hasViolations() {
		os.Exit(1)
	}
}

// control is one control process.
type control struct {
	group   *databaseGroup
	process atomic.Pointer[coordinator.Process]
	boot    ports.ProcessConfig
	stop    context.CancelFunc
	done    chan error
}

// siteMove is the state of a run: its processes and the confirmations of its callers. The
// fields after mu are guarded by it.
type siteMove struct {
	options        options
	group          *databaseGroup
	controls       []*control
	nodes          []*sessionpool.Process
	handlers       []sessionpool.SessionHandler // of each node
	running        int                          // number of tasks (see startTask) that have been started
	ended          chan error                   // receives the error of each task that ends
	mu             sync.Mutex
	acknowledged   map[string]bool
	acknowledgedAt []time.Time
	inDoubt        int
}

// freePorts returns the first of four consecutive ports that are free on all addresses.
func freePorts(ips []string) (int, error) {
	for range 100 {
		first := 20_000 + rand.IntN(20_000)
		free := true
		for _, ip := range ips {
			for p := first; p < first+4 && free; p++ {
				ln, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(p)))
				if err != nil {
					free = false
					break
				}
				ln.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no ports are free")
}

// start starts the process with its stored data.
func (c *control) start() error {
	cp, err := coordinator.NewProcess(c.boot, c.group, c.group)
	if err != nil {
		return err
	}
	p := cp.(*coordinator.Process)
	ctx, stop := context.WithCancel(context.Background())
	c.stop, c.done = stop, make(chan error, 1)
	c.process.Store(p)
	done := c.done
	go func() { done <- p.Run(ctx) }()
	return nil
}
