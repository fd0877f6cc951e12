package coordinator

import (
	"sync/atomic"
	"time"

	"stoneford/internal/wal"
	"stoneford/schema"
)

const (
	// closeTimeout limits how long a process that ends waits for its disk.
	closeTimeout = 200 * time.Millisecond
	// writeQueueLength exceeds the number of unsynced steps that the core can produce:
	// maxUnsyncedSteps and the snapshots that it retries after failed writes. So write
	// never blocks the loop.
	writeQueueLength = 4 * maxUnsyncedSteps
)

// writer writes and syncs the voter's log on its own goroutine, so that the process's loop
// does not wait for the disk. Entries that are queued during a sync are written together
// by the next one.
type writer struct {
	log         *wal.Log
	jobs        chan writeJob
	post        func(Event)
	snapshotDue atomic.Bool // whether the next entries should be replaced by a snapshot
	ended       chan struct{}
}

// writeJob holds the entries of one step. Synced reports their watermark.
type writeJob struct {
	entries   []*schema.WALEntry
	watermark uint64
}

// newWriter creates a writer and starts its goroutine.
func newWriter(log *wal.Log, post func(Event)) *writer {
	w := &writer{log: log, jobs: make(chan writeJob, writeQueueLength), post: post, ended: make(chan struct{})}
	w.snapshotDue.Store(log.SnapshotDue())
	go w.run()
	return w
}

// write queues the entries of one step.
func (w *writer) write(entries []*schema.WALEntry, watermark uint64) {
	w.jobs <- writeJob{entries, watermark}
}

// close stops the writer after it has written the queued entries. It gives up after
// closeTimeout, because the disk may hang.
func (w *writer) close() {
	close(w.jobs)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued jobs until the queue is closed. After a failed write it skips all
// entries until a snapshot.
func (w *writer) run() {
	defer close(w.ended)
	failed := false
	for job := range w.jobs {
		job = w.joinQueued(job)
		if failed && !job.entries[0].Snapshot {
			continue // the core sends a snapshot once it handles SyncFailed
		}
		if err := w.log.Write(job.entries, nil); err != nil {
			failed = true
			w.post(SyncFailed{Cause: err.Error()})
			continue
		}
		failed = false
		w.snapshotDue.Store(w.log.SnapshotDue())
		w.post(Synced{Watermark: job.watermark})
	}
	_ = w.log.Close()
}

// joinQueued merges the queued jobs into one. A snapshot replaces all earlier entries.
func (w *writer) joinQueued(job writeJob) writeJob {
	for {
		select {
		case next, ok := <-w.jobs:
			if !ok {
				return job
			}
			if next.entries[0].Snapshot {
				job.entries = nil
			}
			job.entries, job.watermark = append(job.entries, next.entries...), next.watermark
		default:
			return job
		}
	}
}
