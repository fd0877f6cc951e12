package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// readRunTime is the run time of a read at a database, within the limit of the site.
	readRunTime = 100 * time.Millisecond
	readerCount = 8
)

func init() { scenarios["reload-in-shutdown"] = reloadInShutdown }

// reader reads through one pool node, one read after the other, until its session ends.
type reader struct {
	mu         sync.Mutex
	unanswered []string // reads whose connection ended without an answer
	answered   int
}

func (r *reader) run(m *machine, host string) {
	c, err := openSession(m, host)
	if err != nil {
		return
	}
	defer c.conn.Close()
	for {
		id := newID()
		answer, err := c.run(id, names["read"]+" 1a4", 3*time.Second)
		r.mu.Lock()
		if err != nil {
			r.unanswered = append(r.unanswered, id)
		} else {
			r.answered++
		}
		r.mu.Unlock()
		if err != nil || !succeeded(answer) {
			return
		}
	}
}

// reloadInShutdown: a pool node gets SIGTERM, and SIGHUP shortly after it, while reads run.
func reloadInShutdown(f *fleet, disrupt bool) verdict {
	if !f.begin() {
		return notRun
	}
	f.group.readMs.Store(readRunTime.Milliseconds())
	m := f.machines[0]
	var readers [readerCount]reader
	var running sync.WaitGroup
	for i := range readers {
		running.Go(func() { readers[i].run(m, "app-leader") })
	}
	time.Sleep(2 * time.Second)
	m.pool.signal(syscall.SIGTERM)
	if disrupt {
		time.Sleep(30 * time.Millisecond)
		if err := f.rewriteSettings(m); err != nil {
			return notRun
		}
		m.pool.signal(syscall.SIGHUP)
	}
	running.Wait()
	answered, result := 0, kept
	for i := range readers {
		answered += readers[i].answered
		for _, id := range readers[i].unanswered {
			if f.ran(id) {
				record.logf("read %s was run by a database, and its connection ended without an answer", id)
				result = broken
			}
		}
	}
	record.logf("%d reads were answered", answered)
	if answered == 0 {
		return notRun
	}
	return result
}

// ran reports whether a database ran, or runs, a read.
func (f *fleet) ran(id string) bool {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return f.group.reads[id]
}
