// Package crashdisk is a disk in memory for tests of what is kept over a loss of
// power. It has the semantics of fsync and no more: of a file, what its last sync
// covered is kept, and each write after it is there, missing or torn; of a name
// that was made, renamed or removed since the last sync of its folder, each name
// by itself, the old state, the new one or any between may be kept.
package crashdisk

import (
	"bytes"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/zeebo/errs"

	"stoneford/voterlog"
)

var (
	// ErrRefused ends a call that the disk refuses.
	ErrRefused = errs.New("the disk refuses")
	// ErrPower ends every call once the power is gone.
	ErrPower = errs.New("the power is gone")
	// ErrFull ends a write that the disk has no room for.
	ErrFull = errs.New("no space left on the disk")
)

// Plant is a fault put into the disk on purpose, to show that a test sees it.
type Plant int

// Plants.
const (
	None           Plant = iota
	SyncsNothing         // a sync of a file returns and syncs nothing
	SnapshotUnsync       // as before, for files that are not renamed yet
	FolderUnsync         // a sync of a folder returns and syncs nothing
	OldRemoved           // a rename removes the other files, lasting, before it lasts itself
)

// Planted names the plants.
var Planted = []struct {
	What  string
	Plant Plant
}{
	{"syncs do nothing", SyncsNothing},
	{"a snapshot is not synced before it is renamed", SnapshotUnsync},
	{"the folder is not synced", FolderUnsync},
	{"the log is removed before the snapshot lasts", OldRemoved},
}

// Disk is one disk with one folder.
type Disk struct {
	// Choose picks one of n ways in which a loss of power may go.
	Choose func(n int) int
	// Refuse is the share of the calls that write which are refused.
	Refuse float64
	// Steps is how many more calls that write are made until the power goes,
	// negative for never.
	Steps int
	// Room is how many bytes the disk holds, 0 for any number. Full has it take no
	// more bytes whatever room there is.
	Room int
	Full bool
	// Coarse tears writes at their ends and middle only, so that all ways in which
	// a loss of power may go can be gone through.
	Coarse bool
	Plant  Plant

	// Peak is the largest number of bytes in use so far, Synced how many syncs were
	// made and Written how many bytes were written.
	Peak, Synced, Written int

	r     *rand.Rand
	names map[string]*content   // as the process sees them
	since map[string][]*content // states of a name: the lasting one, then those after it
}

// content is what a file holds: what its last sync covered, and the writes since.
type content struct {
	synced []byte
	writes []write
}

// write puts bytes at a place, or cuts the file off there.
type write struct {
	at  int
	b   []byte
	cut bool
}

// New makes an empty disk; all that happens by chance is of r.
func New(r *rand.Rand) *Disk {
	return &Disk{r: r, Choose: r.IntN, Steps: -1, names: map[string]*content{}, since: map[string][]*content{}}
}

func (w write) to(b []byte) []byte {
	if w.cut {
		return b[:min(w.at, len(b))]
	}
	if d := w.at + len(w.b) - len(b); d > 0 {
		b = append(b, make([]byte, d)...)
	}
	copy(b[w.at:], w.b)
	return b
}

func (c *content) now() []byte {
	b := bytes.Clone(c.synced)
	for _, w := range c.writes {
		b = w.to(b)
	}
	return b
}

func (c *content) length() int {
	n := len(c.synced)
	for _, w := range c.writes {
		if w.cut {
			n = min(n, w.at)
		} else {
			n = max(n, w.at+len(w.b))
		}
	}
	return n
}

// Used is how many bytes the files take.
func (d *Disk) Used() int {
	n := 0
	for _, c := range d.names {
		n += c.length()
	}
	return n
}

func (d *Disk) may() error {
	if d.Steps == 0 {
		return ErrPower
	}
	if d.Steps > 0 {
		d.Steps--
	}
	if d.Refuse > 0 && d.r.Float64() < d.Refuse {
		return ErrRefused
	}
	return nil
}

// name gives a name another content, nil for none.
func (d *Disk) name(p string, c *content) {
	if len(d.since[p]) == 0 {
		d.since[p] = []*content{d.names[p]}
	}
	d.since[p] = append(d.since[p], c)
	if c == nil {
		delete(d.names, p)
	} else {
		d.names[p] = c
	}
}

// PowerLoss leaves what a loss of power leaves, and brings the power back.
func (d *Disk) PowerLoss() {
	none := d.Choose(4) == 0 // all that was not synced is gone
	for _, p := range slices.Sorted(maps.Keys(d.since)) {
		states := d.since[p]
		kept := states[0]
		if !none {
			kept = states[d.Choose(len(states))]
		}
		delete(d.names, p)
		if kept != nil {
			d.names[p] = kept
		}
	}
	for _, p := range slices.Sorted(maps.Keys(d.names)) {
		c := d.names[p]
		b := bytes.Clone(c.synced)
		for _, w := range c.writes {
			if !none {
				b = d.torn(b, w)
			}
		}
		d.names[p] = &content{synced: b}
	}
	clear(d.since)
	d.Steps = -1
}

// torn is what is left of a write: all, nothing, a part, or the length alone.
func (d *Disk) torn(b []byte, w write) []byte {
	way := d.Choose(4)
	switch {
	case way == 0:
		return w.to(b)
	case way == 1 || w.cut || len(w.b) == 0:
		return b
	}
	k := 0
	if d.Coarse {
		k = []int{1, len(w.b) / 2, len(w.b) - 1}[d.Choose(3)]
	} else {
		k = d.Choose(len(w.b) + 1)
	}
	if k > 0 {
		b = write{at: w.at, b: w.b[:k]}.to(b)
	}
	if way == 3 { // the length arrived, the rest did not
		b = write{at: w.at + len(w.b)}.to(b)
	}
	return b
}

// Wipe loses the disk: an empty one is in its place.
func (d *Disk) Wipe() {
	clear(d.names)
	clear(d.since)
	d.Steps = -1
}

// Put has a file hold bytes, lasting.
func (d *Disk) Put(path string, b []byte) {
	d.names[path] = &content{synced: bytes.Clone(b)}
	delete(d.since, path)
}

// Names implements voterlog.Files.
func (d *Disk) Names(string) ([]string, error) {
	var ns []string
	for p := range d.names {
		ns = append(ns, filepath.Base(p))
	}
	slices.Sort(ns)
	return ns, nil
}

// Read implements voterlog.Files.
func (d *Disk) Read(p string) ([]byte, error) {
	c := d.names[p]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return c.now(), nil
}

// Create implements voterlog.Files.
func (d *Disk) Create(p string) (voterlog.File, error) {
	if err := d.may(); err != nil {
		return nil, err
	}
	if c := d.names[p]; c != nil {
		c.writes = append(c.writes, write{cut: true})
		return &file{d: d, path: p, c: c}, nil
	}
	c := &content{}
	d.name(p, c)
	return &file{d: d, path: p, c: c}, nil
}

// Append implements voterlog.Files.
func (d *Disk) Append(p string) (voterlog.File, error) {
	c := d.names[p]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d: d, path: p, c: c, at: c.length()}, nil
}

// Cut implements voterlog.Files.
func (d *Disk) Cut(p string, l int64) error {
	if err := d.may(); err != nil {
		return err
	}
	c := d.names[p]
	if c == nil {
		return fs.ErrNotExist
	}
	c.writes = append(c.writes, write{at: int(l), cut: true})
	return nil
}

// Rename implements voterlog.Files.
func (d *Disk) Rename(from, to string) error {
	if err := d.may(); err != nil {
		return err
	}
	c := d.names[from]
	if c == nil {
		return fs.ErrNotExist
	}
	if d.Plant == OldRemoved {
		for p := range d.names {
			if p != from {
				delete(d.names, p)
				delete(d.since, p)
			}
		}
	}
	d.name(from, nil)
	d.name(to, c)
	return nil
}

// Remove implements voterlog.Files.
func (d *Disk) Remove(p string) error {
	if err := d.may(); err != nil {
		return err
	}
	if d.names[p] == nil {
		return fs.ErrNotExist
	}
	d.name(p, nil)
	return nil
}

// MakeFolder implements voterlog.Files.
func (d *Disk) MakeFolder(string) error { return nil }

// SyncFolder implements voterlog.Files.
func (d *Disk) SyncFolder(string) error {
	if err := d.may(); err != nil {
		return err
	}
	d.Synced++
	if d.Plant != FolderUnsync {
		clear(d.since)
	}
	return nil
}

type file struct {
	d    *Disk
	path string
	c    *content
	at   int
}

// Write implements io.Writer.
func (f *file) Write(b []byte) (int, error) {
	err := f.d.may()
	k := len(b)
	switch {
	case err != nil: // some of it may be there all the same
		k = f.d.r.IntN(len(b) + 1)
	case f.d.Full:
		k, err = 0, ErrFull
	case f.d.Room > 0 && f.d.Used()+len(b) > f.d.Room:
		k, err = max(f.d.Room-f.d.Used(), 0), ErrFull
	}
	f.c.writes = append(f.c.writes, write{at: f.at, b: bytes.Clone(b[:k])})
	f.at += k
	f.d.Written += k
	f.d.Peak = max(f.d.Peak, f.d.Used())
	return k, err
}

// Sync syncs the file's content, not its name.
func (f *file) Sync() error {
	if err := f.d.may(); err != nil {
		return err
	}
	f.d.Synced++
	if f.d.Plant == SyncsNothing || f.d.Plant == SnapshotUnsync && filepath.Ext(f.path) == ".new" {
		return nil
	}
	for _, w := range f.c.writes {
		f.c.synced = w.to(f.c.synced)
	}
	f.c.writes = nil
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
