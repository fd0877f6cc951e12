package crashdisk

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"stoneford/internal/wal"
)

var (
	// ErrIO is returned by calls that fail because of IOErrorRate.
	ErrIO = errors.New("input/output error")
	// ErrPowerLost is returned by modifying calls after a loss of power, until
	// Disk.PowerLoss is called.
	ErrPowerLost = errors.New("power lost")
	// ErrFull is returned by writes that exceed the disk's capacity.
	ErrFull = errors.New("no space left on the disk")
)

// Disk is one disk with one directory.
type Disk struct {
	// Choose returns a number below n, which selects one of n possible results of a loss
	// of power.
	Choose func(n int) int
	// IOErrorRate is the fraction, from 0 to 1, of the modifying calls that fail.
	IOErrorRate float64
	// CallsUntilPowerLoss is the number of modifying calls, syncs included, until the power
	// is lost; negative for never.
	CallsUntilPowerLoss int
	// Capacity is the size of the disk in bytes, 0 for unlimited. Full makes all writes
	// fail, independent of the capacity.
	Capacity int
	Full     bool
	// CoarseTornWrites restricts torn writes to three lengths, so that all possible
	// results of a loss of power can be enumerated.
	CoarseTornWrites bool
	Mutation         Mutation

	// PeakBytes is the largest number of bytes in use so far, SyncCount the number of
	// syncs and WrittenBytes the number of bytes written.
	PeakBytes, SyncCount, WrittenBytes int

	random *rand.Rand
	files  map[string]*fileContent // by path, as a running process sees them
	// unsyncedNames holds, for each name that changed since the directory was last synced,
	// the files that the name has referred to: first the durable one, then those since. A
	// nil entry means that no file had the name.
	unsyncedNames map[string][]*fileContent
}

// New returns an empty disk that draws all random decisions from random.
func New(random *rand.Rand) *Disk {
	return &Disk{
		random:              random,
		Choose:              random.IntN,
		CallsUntilPowerLoss: -1,
		files:               map[string]*fileContent{},
		unsyncedNames:       map[string][]*fileContent{},
	}
}

// UsedBytes returns the total length of all files.
func (d *Disk) UsedBytes() int {
	n := 0
	for _, content := range d.files {
		n += content.length()
	}
	return n
}

// injectFault counts a modifying call and returns the error with which it fails, if any.
func (d *Disk) injectFault() error {
	if d.CallsUntilPowerLoss == 0 {
		return ErrPowerLost
	}
	if d.CallsUntilPowerLoss > 0 {
		d.CallsUntilPowerLoss--
	}
	if d.IOErrorRate > 0 && d.random.Float64() < d.IOErrorRate {
		return ErrIO
	}
	return nil
}

// setFile sets the file of a name, nil to remove it, without making the change durable.
func (d *Disk) setFile(path string, content *fileContent) {
	if len(d.unsyncedNames[path]) == 0 {
		d.unsyncedNames[path] = []*fileContent{d.files[path]}
	}
	d.unsyncedNames[path] = append(d.unsyncedNames[path], content)
	if content == nil {
		delete(d.files, path)
	} else {
		d.files[path] = content
	}
}

// Wipe replaces the disk by an empty one.
func (d *Disk) Wipe() {
	clear(d.files)
	clear(d.unsyncedNames)
	d.CallsUntilPowerLoss = -1
}

// PutFile durably sets the content of a file.
func (d *Disk) PutFile(path string, data []byte) {
	d.files[path] = &fileContent{synced: bytes.Clone(data)}
	delete(d.unsyncedNames, path)
}

// List implements wal.FileSystem.
func (d *Disk) List(string) ([]string, error) {
	var names []string
	for path := range d.files {
		names = append(names, filepath.Base(path))
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements wal.FileSystem.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	content := d.files[path]
	if content == nil {
		return nil, fs.ErrNotExist
	}
	return content.current(), nil
}

// Create implements wal.FileSystem.
func (d *Disk) Create(path string) (wal.File, error) {
	if err := d.injectFault(); err != nil {
		return nil, err
	}
	if content := d.files[path]; content != nil {
		content.writes = append(content.writes, write{truncate: true})
		return &file{disk: d, path: path, content: content}, nil
	}
	content := &fileContent{}
	d.setFile(path, content)
	return &file{disk: d, path: path, content: content}, nil
}

// OpenAppend implements wal.FileSystem.
func (d *Disk) OpenAppend(path string) (wal.File, error) {
	content := d.files[path]
	if content == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, path: path, content: content, offset: content.length()}, nil
}

// Truncate implements wal.FileSystem.
func (d *Disk) Truncate(path string, length int64) error {
	if err := d.injectFault(); err != nil {
		return err
	}
	content := d.files[path]
	if content == nil {
		return fs.ErrNotExist
	}
	content.writes = append(content.writes, write{offset: int(length), truncate: true})
	return nil
}

// Rename implements wal.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.injectFault(); err != nil {
		return err
	}
	content := d.files[from]
	if content == nil {
		return fs.ErrNotExist
	}
	if d.Mutation == OldFilesRemovedEarly {
		d.removeAllBut(from)
	}
	d.setFile(from, nil)
	d.setFile(to, content)
	return nil
}

// removeAllBut durably removes all files but one.
func (d *Disk) removeAllBut(kept string) {
	for path := range d.files {
		if path != kept {
			delete(d.files, path)
			delete(d.unsyncedNames, path)
		}
	}
}

// Remove implements wal.FileSystem.
func (d *Disk) Remove(path string) error {
	if err := d.injectFault(); err != nil {
		return err
	}
	if d.files[path] == nil {
		return fs.ErrNotExist
	}
	d.setFile(path, nil)
	return nil
}

// MakeDir implements wal.FileSystem.
func (d *Disk) MakeDir(string) error { return nil }

// SyncDir implements wal.FileSystem.
func (d *Disk) SyncDir(string) error {
	if err := d.injectFault(); err != nil {
		return err
	}
	d.SyncCount++
	if d.Mutation != DirNotSynced {
		clear(d.unsyncedNames)
	}
	return nil
}
