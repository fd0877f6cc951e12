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

	"stoneford/internal/wal"
)

var (
	// ErrRefused ends a call that the disk refuses.
	ErrRefused = errs.New("the disk refuses")
	// ErrPowerLost ends every call once the power is gone.
	ErrPowerLost = errs.New("the power is gone")
	// ErrFull ends a write that the disk has no room for.
	ErrFull = errs.New("no space left on the disk")
)

// Mutation is a fault put into the disk on purpose, to show that a test sees it.
type Mutation int

// Plants.
const (
	NoMutation           Mutation = iota
	SyncDoesNothing               // a sync of a file returns and syncs nothing
	SnapshotNotSynced             // as before, for files that are not renamed yet
	DirNotSynced                  // a sync of a folder returns and syncs nothing
	OldFilesRemovedEarly          // a rename removes the other files, lasting, before it lasts itself
)

// Mutations names the plants.
var Mutations = []struct {
	Name     string
	Mutation Mutation
}{
	{"syncs do nothing", SyncDoesNothing},
	{"a snapshot is not synced before it is renamed", SnapshotNotSynced},
	{"the folder is not synced", DirNotSynced},
	{"the log is removed before the snapshot lasts", OldFilesRemovedEarly},
}

// Disk is one disk with one folder.
type Disk struct {
	// Choose picks one of n ways in which a loss of power may go.
	Choose func(n int) int
	// RefusalRate is the share of the calls that write which are refused.
	RefusalRate float64
	// StepsLeft is how many more calls that write are made until the power goes,
	// negative for never.
	StepsLeft int
	// Capacity is how many bytes the disk holds, 0 for any number. Full has it take no
	// more bytes whatever room there is.
	Capacity int
	Full     bool
	// CoarseTears tears writes at their ends and middle only, so that all ways in which
	// a loss of power may go can be gone through.
	CoarseTears bool
	Mutation    Mutation

	// PeakBytes is the largest number of bytes in use so far, Synced how many syncs were
	// made and Written how many bytes were written.
	PeakBytes, SyncCount, WrittenBytes int

	random        *rand.Rand
	files         map[string]*fileContent   // as the process sees them
	unsyncedNames map[string][]*fileContent // states of a name: the lasting one, then those after it
}

// fileContent is what a file holds: what its last sync covered, and the writes since.
type fileContent struct {
	synced []byte
	writes []write
}

// write puts bytes at a place, or cuts the file off there.
type write struct {
	offset   int
	data     []byte
	truncate bool
}

// New makes an empty disk; all that happens by chance is of r.
func New(r *rand.Rand) *Disk {
	return &Disk{random: r, Choose: r.IntN, StepsLeft: -1, files: map[string]*fileContent{}, unsyncedNames: map[string][]*fileContent{}}
}

func (w write) applyTo(b []byte) []byte {
	if w.truncate {
		return b[:min(w.offset, len(b))]
	}
	if d := w.offset + len(w.data) - len(b); d > 0 {
		b = append(b, make([]byte, d)...)
	}
	copy(b[w.offset:], w.data)
	return b
}

func (c *fileContent) current() []byte {
	b := bytes.Clone(c.synced)
	for _, w := range c.writes {
		b = w.applyTo(b)
	}
	return b
}

func (c *fileContent) length() int {
	n := len(c.synced)
	for _, w := range c.writes {
		if w.truncate {
			n = min(n, w.offset)
		} else {
			n = max(n, w.offset+len(w.data))
		}
	}
	return n
}

// UsedBytes is how many bytes the files take.
func (d *Disk) UsedBytes() int {
	n := 0
	for _, c := range d.files {
		n += c.length()
	}
	return n
}

func (d *Disk) allow() error {
	if d.StepsLeft == 0 {
		return ErrPowerLost
	}
	if d.StepsLeft > 0 {
		d.StepsLeft--
	}
	if d.RefusalRate > 0 && d.random.Float64() < d.RefusalRate {
		return ErrRefused
	}
	return nil
}

// setFile gives a name another content, nil for none.
func (d *Disk) setFile(p string, c *fileContent) {
	if len(d.unsyncedNames[p]) == 0 {
		d.unsyncedNames[p] = []*fileContent{d.files[p]}
	}
	d.unsyncedNames[p] = append(d.unsyncedNames[p], c)
	if c == nil {
		delete(d.files, p)
	} else {
		d.files[p] = c
	}
}

// PowerLoss leaves what a loss of power leaves, and brings the power back.
func (d *Disk) PowerLoss() {
	loseUnsynced := d.Choose(4) == 0 // all that was not synced is gone
	for _, p := range slices.Sorted(maps.Keys(d.unsyncedNames)) {
		states := d.unsyncedNames[p]
		kept := states[0]
		if !loseUnsynced {
			kept = states[d.Choose(len(states))]
		}
		delete(d.files, p)
		if kept != nil {
			d.files[p] = kept
		}
	}
	for _, p := range slices.Sorted(maps.Keys(d.files)) {
		content := d.files[p]
		b := bytes.Clone(content.synced)
		for _, w := range content.writes {
			if !loseUnsynced {
				b = d.applyTorn(b, w)
			}
		}
		d.files[p] = &fileContent{synced: b}
	}
	clear(d.unsyncedNames)
	d.StepsLeft = -1
}

// applyTorn is what is left of a write: all, nothing, a part, or the length alone.
func (d *Disk) applyTorn(b []byte, w write) []byte {
	outcome := d.Choose(4)
	switch {
	case outcome == 0:
		return w.applyTo(b)
	case outcome == 1 || w.truncate || len(w.data) == 0:
		return b
	}
	length := 0
	if d.CoarseTears {
		length = []int{1, len(w.data) / 2, len(w.data) - 1}[d.Choose(3)]
	} else {
		length = d.Choose(len(w.data) + 1)
	}
	if length > 0 {
		b = write{offset: w.offset, data: w.data[:length]}.applyTo(b)
	}
	if outcome == 3 { // the length arrived, the rest did not
		b = write{offset: w.offset + len(w.data)}.applyTo(b)
	}
	return b
}

// Wipe loses the disk: an empty one is in its place.
func (d *Disk) Wipe() {
	clear(d.files)
	clear(d.unsyncedNames)
	d.StepsLeft = -1
}

// PutFile has a file hold bytes, lasting.
func (d *Disk) PutFile(path string, b []byte) {
	d.files[path] = &fileContent{synced: bytes.Clone(b)}
	delete(d.unsyncedNames, path)
}

// List implements voterlog.FileSystem.
func (d *Disk) List(string) ([]string, error) {
	var ns []string
	for p := range d.files {
		ns = append(ns, filepath.Base(p))
	}
	slices.Sort(ns)
	return ns, nil
}

// ReadFile implements voterlog.FileSystem.
func (d *Disk) ReadFile(p string) ([]byte, error) {
	c := d.files[p]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return c.current(), nil
}

// Create implements voterlog.FileSystem.
func (d *Disk) Create(p string) (wal.File, error) {
	if err := d.allow(); err != nil {
		return nil, err
	}
	if c := d.files[p]; c != nil {
		c.writes = append(c.writes, write{truncate: true})
		return &file{disk: d, path: p, content: c}, nil
	}
	c := &fileContent{}
	d.setFile(p, c)
	return &file{disk: d, path: p, content: c}, nil
}

// OpenAppend implements voterlog.FileSystem.
func (d *Disk) OpenAppend(p string) (wal.File, error) {
	c := d.files[p]
	if c == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, path: p, content: c, offset: c.length()}, nil
}

// Truncate implements voterlog.FileSystem.
func (d *Disk) Truncate(p string, l int64) error {
	if err := d.allow(); err != nil {
		return err
	}
	c := d.files[p]
	if c == nil {
		return fs.ErrNotExist
	}
	c.writes = append(c.writes, write{offset: int(l), truncate: true})
	return nil
}

// Rename implements voterlog.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.allow(); err != nil {
		return err
	}
	c := d.files[from]
	if c == nil {
		return fs.ErrNotExist
	}
	if d.Mutation == OldFilesRemovedEarly {
		for p := range d.files {
			if p != from {
				delete(d.files, p)
				delete(d.unsyncedNames, p)
			}
		}
	}
	d.setFile(from, nil)
	d.setFile(to, c)
	return nil
}

// Remove implements voterlog.FileSystem.
func (d *Disk) Remove(p string) error {
	if err := d.allow(); err != nil {
		return err
	}
	if d.files[p] == nil {
		return fs.ErrNotExist
	}
	d.setFile(p, nil)
	return nil
}

// MakeDir implements voterlog.FileSystem.
func (d *Disk) MakeDir(string) error { return nil }

// SyncDir implements voterlog.FileSystem.
func (d *Disk) SyncDir(string) error {
	if err := d.allow(); err != nil {
		return err
	}
	d.SyncCount++
	if d.Mutation != DirNotSynced {
		clear(d.unsyncedNames)
	}
	return nil
}

type file struct {
	disk    *Disk
	path    string
	content *fileContent
	offset  int
}

// Write implements io.Writer.
func (f *file) Write(b []byte) (int, error) {
	err := f.disk.allow()
	k := len(b)
	switch {
	case err != nil: // some of it may be there all the same
		k = f.disk.random.IntN(len(b) + 1)
	case f.disk.Full:
		k, err = 0, ErrFull
	case f.disk.Capacity > 0 && f.disk.UsedBytes()+len(b) > f.disk.Capacity:
		k, err = max(f.disk.Capacity-f.disk.UsedBytes(), 0), ErrFull
	}
	f.content.writes = append(f.content.writes, write{offset: f.offset, data: bytes.Clone(b[:k])})
	f.offset += k
	f.disk.WrittenBytes += k
	f.disk.PeakBytes = max(f.disk.PeakBytes, f.disk.UsedBytes())
	return k, err
}

// Sync syncs the file's content, not its name.
func (f *file) Sync() error {
	if err := f.disk.allow(); err != nil {
		return err
	}
	f.disk.SyncCount++
	if f.disk.Mutation == SyncDoesNothing || f.disk.Mutation == SnapshotNotSynced && filepath.Ext(f.path) == ".new" {
		return nil
	}
	for _, w := range f.content.writes {
		f.content.synced = w.applyTo(f.content.synced)
	}
	f.content.writes = nil
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
