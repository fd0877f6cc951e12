package wal

import (
	"path/filepath"

	"stoneford/schema"
)

// Report describes the content of a log.
type Report struct {
	Format  int    // format that this program reads
	File    string // name of the newest file, empty if there is no log
	Bytes   int    // size of the file
	Frames  int    // number of valid frames
	Entries int    // number of entries in the valid frames
	// TornBytes is the number of bytes after the last valid frame, left by a write that a
	// loss of power tore. They are not needed; the next start truncates them.
	TornBytes int
	// Leftovers lists the files that the next start removes.
	Leftovers []string

	// State of a voter restored from this log:

	DiskID           uint64                  // identity of the disk
	Membership       *schema.Membership      // newest membership known to be chosen, nil if none is known
	ActiveMembership uint64                  // number of the membership under which it votes or last voted
	Registers        []*schema.RegisterState // newest state of each key, in the order first written
}

// Inspect reads the log in a directory without changing it, so that it may be called
// while the voter runs. It returns the same errors as Open. For a directory without a
// log it returns a Report with an empty File.
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

// replay applies the entries to the report's state, as a voter that is restored from them
// does.
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
