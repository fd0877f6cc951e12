package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"path/filepath"
	"time"

	"github.com/apex/log"

	"stoneford/internal/wal"
	"stoneford/result"
	"stoneford/schema"
)

// openRetryInterval is the time between two attempts to open the voter's log.
const openRetryInterval = 500 * time.Millisecond

// restoreWithRetries restores the core from the voter's log and retries while the disk
// fails. It refuses calls meanwhile. It returns nil if the context is cancelled first.
func (p *Process) restoreWithRetries(ctx context.Context) *Core {
	for {
		core, err := p.restore()
		if err == nil {
			return core
		}
		log.WithFields(log.Fields{"code": int(result.VoterDiskFailed)}).WithError(err).Error(result.VoterDiskFailed.String())
		if !p.refuseRequestsFor(ctx, openRetryInterval) {
			return nil
		}
	}
}

// refuseRequestsFor refuses all calls for a period. It returns false if the context is
// cancelled first.
func (p *Process) refuseRequestsFor(ctx context.Context, period time.Duration) bool {
	over := time.After(period)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-over:
			return true
		case in := <-p.inbox:
			p.refuse(in)
		}
	}
}

// restore opens the voter's log and creates the core from its entries. It quarantines a
// damaged log; the voter then joins anew, as after the loss of its disk.
func (p *Process) restore() (*Core, error) {
	// The disk ID is used if the log is empty. The run ID is random and not derived from
	// the time of day, because that clock may be set back.
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	folder := filepath.Join(p.config.DataFolder, "voter")
	var entries []*schema.WALEntry
	keep := func(entry *schema.WALEntry) { entries = append(entries, entry) }
	voterLog, err := wal.Open(folder, keep)
	if errors.Is(err, wal.ErrCorrupt) {
		if err := quarantine(folder, err); err != nil {
			return nil, err
		}
		entries = nil
		voterLog, err = wal.Open(folder, keep)
		p.config.Bootstrap = false // state was lost here, so this process must not found a cluster
	}
	if err != nil {
		return nil, err
	}
	voterLog.SetDiskSize(int(p.config.DiskMB) << 20)
	p.logWriter = newWriter(voterLog, p.post)
	diskID, run := binary.LittleEndian.Uint64(random[:])|1, binary.LittleEndian.Uint64(random[8:])|1 // 0 stands for none
	return Restore(p.config, entries, diskID, run), nil
}

// quarantine moves a damaged log to another folder and logs the cause.
func quarantine(folder string, cause error) error {
	movedTo, err := wal.Quarantine(folder)
	log.WithFields(log.Fields{"code": int(result.LogDamaged), "moved_to": movedTo}).WithError(cause).Error(result.LogDamaged.String())
	return err
}
