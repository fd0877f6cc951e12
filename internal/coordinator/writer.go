package coordinator

import (
	"sync/atomic"
	"time"

	"stoneford/internal/wal"
	"stoneford/schema"
)

// closeTimeout is how long an ending process waits for its disk.
const closeTimeout = 200 * time.Millisecond

// writer has the disk to itself, so that nobody else waits for it. What comes
// while a sync is under way is written together by the next one.
type writer struct {
	log         *wal.Log
	jobs        chan writeJob
	post        func(any)
	snapshotDue atomic.Bool // a snapshot is to take the place of the next entries
	ended       chan struct{}
}

type writeJob struct {
	entries   []*schema.WALEntry
	watermark uint64
}

// writeQueueLength is more than the core hands out unsynced (maxUnsyncedSteps and the
// snapshots of a disk that refuses).
const writeQueueLength = 4 * maxUnsyncedSteps

func newWriter(l *wal.Log, post func(any)) *writer {
	w := &writer{log: l, jobs: make(chan writeJob, writeQueueLength), post: post, ended: make(chan struct{})}
	w.snapshotDue.Store(l.SnapshotDue())
	go w.run()
	return w
}

func (w *writer) write(es []*schema.WALEntry, mark uint64) { w.jobs <- writeJob{es, mark} }

// close ends the writer; a disk that hangs is left alone.
func (w *writer) close() error {
	close(w.jobs)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
	return nil
}

func (w *writer) run() {
	defer close(w.ended)
	failed := false
	for j := range w.jobs {
		es, mark := j.entries, j.watermark
		for more := true; more; {
			select {
			case k, ok := <-w.jobs:
				if more = ok; !ok {
					break
				}
				if k.entries[0].Snapshot {
					es = nil // it holds all that came before
				}
				es, mark = append(es, k.entries...), k.watermark
			default:
				more = false
			}
		}
		if failed && !es[0].Snapshot {
			continue // the core knows by now, or will: a snapshot follows
		}
		if err := w.log.Write(es, nil); err != nil {
			failed = true
			w.post(SyncFailed{Cause: err.Error()})
			continue
		}
		failed = false
		w.snapshotDue.Store(w.log.SnapshotDue())
		w.post(Synced{Watermark: mark})
	}
	_ = w.log.Close()
}
