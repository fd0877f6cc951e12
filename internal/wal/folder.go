package wal

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"

	"stoneford/schema"
)

// Report is what a log holds, read without changing it.
type Report struct {
	Format  int
	File    string // the file in force, empty if the folder holds no log
	Bytes   int
	Frames  int
	Entries int
	// TornBytes lie behind the last sound frame: a write that a loss of power cut
	// short. Nothing rests on them; the next start drops them.
	TornBytes int
	// Leftovers are files that the next start removes.
	Leftovers []string
	// What a voter started on this log holds:
	DiskID           uint64                  // identity of the disk
	Membership       *schema.Membership      // newest known to be chosen, nil before the first
	ActiveMembership uint64                  // number of the membership that it votes, or last voted, under
	Registers        []*schema.RegisterState // newest of each key, in order of the keys
}

// Inspect reads the log in a folder and changes nothing, so that it can be used
// on the folder of a process that runs. ErrCorrupt and ErrFormat as in Open; a
// folder without a log is a Report without a File.
func Inspect(dir string) (Report, error) {
	content, err := readDir(osFileSystem{}, dir)
	report := Report{Format: Format, Leftovers: content.leftovers}
	if err != nil || content.fileNumber == 0 {
		return report, err
	}
	l := &Log{dir: dir}
	report.File, report.Bytes, report.Frames, report.Entries, report.TornBytes = filepath.Base(l.path(content.fileNumber)), content.length, int(content.frames), len(content.entries), content.length-content.validLength
	keys := map[string]int{}
	for _, e := range content.entries {
		if e.Snapshot {
			report.Registers = nil
			clear(keys)
		}
		if e.DiskId != 0 {
			report.DiskID = e.DiskId
		}
		if e.Membership != nil {
			report.Membership = e.Membership
		}
		report.ActiveMembership = max(report.ActiveMembership, e.ActiveMembership)
		for _, register := range e.Registers {
			if i, ok := keys[register.Key]; ok {
				report.Registers[i] = register
			} else {
				keys[register.Key] = len(report.Registers)
				report.Registers = append(report.Registers, register)
			}
		}
	}
	return report, nil
}

// Copy writes the log in a folder into another one, which must hold none, and
// reads it back. Of a voter that runs it is what that voter had on disk at some
// moment of the copying. A copy is for looking at it, and for putting it back
// where every voter's is put back from copies taken while all were stopped: a
// single voter never goes on from an older copy of its log, since it would
// vote against what it said later. It goes on with an empty folder instead and
// joins anew (design 3.3).
func Copy(from, to string) error {
	fs := osFileSystem{}
	existing, err := readDir(fs, to)
	if err != nil {
		return err
	}
	if existing.fileNumber > 0 || len(existing.leftovers) > 0 {
		return errs.New("%s holds a log already", to)
	}
	var source fileContent
	var b []byte
	for range 5 {
		// The file may be replaced by a snapshot meanwhile.
		if source, err = readDir(fs, from); err != nil && !os.IsNotExist(err) {
			return err
		}
		if err == nil && source.fileNumber == 0 {
			return errs.New("%s holds no log", from)
		}
		if err == nil {
			if b, err = fs.ReadFile((&Log{dir: from}).path(source.fileNumber)); err == nil {
				break
			}
		}
	}
	if err != nil {
		return err
	}
	b = b[:source.validLength]
	if err := fs.MakeDir(to); err != nil {
		return err
	}
	path := (&Log{dir: to}).path(source.fileNumber)
	f, err := fs.Create(path + ".new")
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err = errs.Combine(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(path+".new", path); err != nil {
		return err
	}
	if err := errs.Combine(fs.SyncDir(to), fs.SyncDir(filepath.Dir(filepath.Clean(to)))); err != nil {
		return err
	}
	readBack, err := fs.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Equal(readBack, b) {
		return ErrCorrupt.New("the copy in %s reads back otherwise than it was written", to)
	}
	written, err := readDir(fs, to)
	if err == nil && len(written.entries) != len(source.entries) {
		err = ErrCorrupt.New("the copy in %s holds %d entries, not %d", to, len(written.entries), len(source.entries))
	}
	return err
}
