package coordinator

import (
	"sync/atomic"
	"time"

	"stoneford/schema"
	"stoneford/voterlog"
)

// closeWait is how long an ending process waits for its disk.
const closeWait = 200 * time.Millisecond

// writer has the disk to itself, so that nobody else waits for it. What comes
// while a sync is under way is written together by the next one.
type writer struct {
	log   *voterlog.Log
	jobs  chan job
	post  func(any)
	due   atomic.Bool // a snapshot is to take the place of the next entries
	ended chan struct{}
}

type job struct {
	es   []*schema.VoterLog
	mark uint64
}

// writeLine is more than the core hands out unsynced (mostHeld and the
// snapshots of a disk that refuses).
const writeLine = 4 * mostHeld

func newWriter(l *voterlog.Log, post func(any)) *writer {
	w := &writer{log: l, jobs: make(chan job, writeLine), post: post, ended: make(chan struct{})}
	w.due.Store(l.Due())
	go w.run()
	return w
}

func (w *writer) write(es []*schema.VoterLog, mark uint64) { w.jobs <- job{es, mark} }

// close ends the writer; a disk that hangs is left alone.
func (w *writer) close() error {
	close(w.jobs)
	select {
	case <-w.ended:
	case <-time.After(closeWait):
	}
	return nil
}

func (w *writer) run() {
	defer close(w.ended)
	failed := false
	for j := range w.jobs {
		es, mark := j.es, j.mark
		for more := true; more; {
			select {
			case k, ok := <-w.jobs:
				if more = ok; !ok {
					break
				}
				if k.es[0].Snapshot {
					es = nil // it holds all that came before
				}
				es, mark = append(es, k.es...), k.mark
			default:
				more = false
			}
		}
		if failed && !es[0].Snapshot {
			continue // the core knows by now, or will: a snapshot follows
		}
		if err := w.log.Write(es, nil); err != nil {
			failed = true
			w.post(Unsynced{Err: err.Error()})
			continue
		}
		failed = false
		w.due.Store(w.log.Due())
		w.post(Synced{Mark: mark})
	}
	_ = w.log.Close()
}
