package wal

import (
	"path/filepath"

	"stoneford/schema"
)

// Report is what a log holds, read without changing it.
type Report struct {
	Format  int    // that this program reads
	File    string // name of the newest file, empty if there is no log
	Bytes   int    // of the file
	Frames  int    // sound ones
	Entries int    // in them
	// TornBytes lie behind the last sound frame: a write that a loss of power tore.
	// Nothing depends on them; the next start drops them.
	TornBytes int
	// Leftovers are files that the next start removes.
	Leftovers []string

	// What a voter started on this log holds:

	DiskID           uint64                  // identity of the disk
	Membership       *schema.Membership      // newest known to be chosen, nil before the first
	ActiveMembership uint64                  // number of the one that it votes, or last voted, under
	Registers        []*schema.RegisterState // newest state of each key, in the order first written
}

// Inspect reads the log in a directory and changes nothing, so that it may be used while
// the voter runs. Errors are as in Open; a directory without a log is a Report without
// a File.
func Inspect(dir string) (Report, error) {
	content, err := scanDir(osFileSystem{}, dir)
	report := Report{Format: Format, Leftovers: content.leftovers}
	if err != nil || content.fileNumber == 0 {
		return report, err
	}
	report.File = filepath.Base(logPath(dir, content.fileNumber))
	report.Bytes = content.length
	report.Frames = int(content.frames)
	report.Entries = len(content.entries)
	report.TornBytes = content.length - content.validLength
	report.replay(content.entries)
	return report, nil
}

// replay folds the entries into what a voter restored from them holds.
func (r *Report) replay(entries []*schema.WALEntry) {
	index := map[string]int{} // into Registers, by key
	for _, entry := range entries {
		if entry.Snapshot {
			r.Registers = nil
			clear(index)
		}
		if entry.DiskId != 0 {
			r.DiskID = entry.DiskId
		}
		if entry.Membership != nil {
			r.Membership = entry.Membership
		}
		r.ActiveMembership = max(r.ActiveMembership, entry.ActiveMembership)
		for _, state := range entry.Registers {
			if i, ok := index[state.Key]; ok {
				r.Registers[i] = state
				continue
			}
			index[state.Key] = len(r.Registers)
			r.Registers = append(r.Registers, state)
		}
	}
}
