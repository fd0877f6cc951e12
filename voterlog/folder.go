package voterlog

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
	// LeftOver are files that the next start removes.
	LeftOver []string
	// What a voter started on this log holds:
	Life       uint64             // identity of the disk
	Membership *schema.Membership // newest known to be chosen, nil before the first
	Active     uint64             // number of the membership that it votes, or last voted, under
	Cells      []*schema.Cell     // newest of each key, in order of the keys
}

// Inspect reads the log in a folder and changes nothing, so that it can be used
// on the folder of a process that runs. ErrDamaged and ErrFormat as in Open; a
// folder without a log is a Report without a File.
func Inspect(folder string) (Report, error) {
	c, err := read(osFiles{}, folder)
	r := Report{Format: Format, LeftOver: c.others}
	if err != nil || c.number == 0 {
		return r, err
	}
	l := &Log{folder: folder}
	r.File, r.Bytes, r.Frames, r.Entries, r.TornBytes = filepath.Base(l.path(c.number)), c.length, int(c.frames), len(c.entries), c.length-c.good
	keys := map[string]int{}
	for _, e := range c.entries {
		if e.Snapshot {
			r.Cells = nil
			clear(keys)
		}
		if e.Life != 0 {
			r.Life = e.Life
		}
		if e.Membership != nil {
			r.Membership = e.Membership
		}
		r.Active = max(r.Active, e.Active)
		for _, k := range e.Cells {
			if i, ok := keys[k.Key]; ok {
				r.Cells[i] = k
			} else {
				keys[k.Key] = len(r.Cells)
				r.Cells = append(r.Cells, k)
			}
		}
	}
	return r, nil
}

// Copy writes the log in a folder into another one, which must hold none, and
// reads it back. Of a voter that runs it is what that voter had on disk at some
// moment of the copying. A copy is for looking at it, and for putting it back
// where every voter's is put back from copies taken while all were stopped: a
// single voter never goes on from an older copy of its log, since it would
// vote against what it said later. It goes on with an empty folder instead and
// joins anew (design 3.3).
func Copy(from, to string) error {
	fs := osFiles{}
	there, err := read(fs, to)
	if err != nil {
		return err
	}
	if there.number > 0 || len(there.others) > 0 {
		return errs.New("%s holds a log already", to)
	}
	var c content
	var b []byte
	for range 5 {
		// The file may be replaced by a snapshot meanwhile.
		if c, err = read(fs, from); err != nil && !os.IsNotExist(err) {
			return err
		}
		if err == nil && c.number == 0 {
			return errs.New("%s holds no log", from)
		}
		if err == nil {
			if b, err = fs.Read((&Log{folder: from}).path(c.number)); err == nil {
				break
			}
		}
	}
	if err != nil {
		return err
	}
	b = b[:c.good]
	if err := fs.MakeFolder(to); err != nil {
		return err
	}
	p := (&Log{folder: to}).path(c.number)
	f, err := fs.Create(p + ".new")
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err = errs.Combine(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(p+".new", p); err != nil {
		return err
	}
	if err := errs.Combine(fs.SyncFolder(to), fs.SyncFolder(filepath.Dir(filepath.Clean(to)))); err != nil {
		return err
	}
	back, err := fs.Read(p)
	if err != nil {
		return err
	}
	if !bytes.Equal(back, b) {
		return ErrDamaged.New("the copy in %s reads back otherwise than it was written", to)
	}
	v, err := read(fs, to)
	if err == nil && len(v.entries) != len(c.entries) {
		err = ErrDamaged.New("the copy in %s holds %d entries, not %d", to, len(v.entries), len(c.entries))
	}
	return err
}
