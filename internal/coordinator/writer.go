package coordinator

import (
	"sync/atomic"
	"time"

	"stoneford/internal/wal"
	"stoneford/schema"
)

const (
	// closeTimeout bounds how long an ending process waits for its disk.
	closeTimeout = 200 * time.Millisecond
	// writeQueueLength is more than the core hands out unsynced: maxUnsyncedSteps and the
	// snapshots of a disk that refuses. So write never blocks the loop.
	writeQueueLength = 4 * maxUnsyncedSteps
)

// writer writes and syncs the voter's log on a goroutine of its own, so that nobody
// else waits for the disk. What is queued while a sync is under way is written together
// by the next one.
type writer struct {
	log         *wal.Log
	jobs        chan writeJob
	post        func(Event)
	snapshotDue atomic.Bool // a snapshot is to take the place of the next entries
	ended       chan struct{}
}

// writeJob is the entries of one step; Synced reports them by the watermark.
type writeJob struct {
	entries   []*schema.WALEntry
	watermark uint64
}

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

// close ends the writer after what is queued; a disk that hangs is left alone.
func (w *writer) close() {
	close(w.jobs)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

func (w *writer) run() {
	defer close(w.ended)
	failed := false
	for job := range w.jobs {
		job = w.joinQueued(job)
		if failed && !job.entries[0].Snapshot {
			continue // the core knows by now, or will: a snapshot follows
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

// joinQueued joins the jobs that wait to one. A snapshot replaces what came before it.
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
