package crashdisk

import (
	"bytes"
	"path/filepath"
)

// file is an open file of a Disk.
type file struct {
	disk    *Disk
	path    string // path under which it was opened
	content *fileContent
	offset  int // offset of the next write
}

// Write implements io.Writer. A failed write may write a part of the data.
func (f *file) Write(data []byte) (int, error) {
	d := f.disk
	err := d.injectFault()
	length := len(data)
	switch {
	case err != nil:
		length = d.random.IntN(len(data) + 1)
	case d.Full:
		length, err = 0, ErrFull
	case d.Capacity > 0 && d.UsedBytes()+len(data) > d.Capacity:
		length, err = max(d.Capacity-d.UsedBytes(), 0), ErrFull
	}
	f.content.writes = append(f.content.writes, write{offset: f.offset, data: bytes.Clone(data[:length])})
	f.offset += length
	d.WrittenBytes += length
	d.PeakBytes = max(d.PeakBytes, d.UsedBytes())
	return length, err
}

// Sync makes the file's content durable, but not its name.
func (f *file) Sync() error {
	if err := f.disk.injectFault(); err != nil {
		return err
	}
	f.disk.SyncCount++
	unfinished := filepath.Ext(f.path) == ".new"
	if f.disk.Mutation == SyncDoesNothing || f.disk.Mutation == SnapshotNotSynced && unfinished {
		return nil
	}
	f.content.sync()
	return nil
}

// Close implements io.Closer. It does not sync the file.
func (f *file) Close() error { return nil }
