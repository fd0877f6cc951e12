package wal

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"stoneford/schema"
)

// Limits at which a snapshot is due. The file may grow to compactionGrowth times its last
// snapshot, but at least to minCompactionBytes, which avoids frequent snapshots of a small
// state, and at most to maxCompactionBytes or the disk's size divided by diskDivisor. It
// may always grow to twice the snapshot, so that not every write of a large state is a
// snapshot. maxEntriesPerFile limits the entries that a start replays.
const (
	maxEntriesPerFile  = 4096
	compactionGrowth   = 8
	minCompactionBytes = 512 << 10
	maxCompactionBytes = 8 << 20
	diskDivisor        = 8
)

// errSnapshotNeeded is returned by a write without a snapshot that follows a failed write.
var errSnapshotNeeded = errors.New("an earlier write to the log failed, so the next write must contain a snapshot")

// Log is an open write-ahead log.
type Log struct {
	files        FileSystem
	dir          string
	file         File   // nil after a failed write, until a snapshot is written
	fileNumber   uint64 // highest number used, possibly by a file that could not be completed
	frameNumber  uint64 // number of the last frame in the file
	entries      int    // number of entries in the file
	size         int    // size of the file, in bytes
	snapshotSize int    // size of the file's header and initial snapshot, in bytes
	diskSize     int    // size of the disk in bytes, 0 if unknown
}

// Open opens the log in a directory, which it creates if necessary, and passes the
// entries to restore, oldest first. A torn frame at the end of the file was never
// acknowledged; Open truncates it. Any other data that cannot be read is reported as
// ErrCorrupt: the caller must then treat the disk as lost (see Quarantine). A log of an
// unsupported format is reported as ErrFormat and not changed. All replayed entries are
// synced.
func Open(dir string, restore func(*schema.WALEntry)) (*Log, error) {
	return OpenWith(osFileSystem{}, dir, restore)
}

// OpenWith works like Open, on the given file system.
func OpenWith(files FileSystem, dir string, restore func(*schema.WALEntry)) (*Log, error) {
	if err := files.MakeDir(dir); err != nil {
		return nil, err
	}
	if err := files.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	content, err := scanDir(files, dir)
	if err != nil {
		return nil, err
	}
	l := &Log{
		files:        files,
		dir:          dir,
		fileNumber:   content.fileNumber,
		frameNumber:  content.frames,
		entries:      len(content.entries),
		size:         content.validLength,
		snapshotSize: content.snapshotSize,
	}
	if err := l.openFile(content); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	if err := l.removeFiles(content.leftovers); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	for _, entry := range content.entries {
		restore(entry)
	}
	return l, nil
}

// openFile opens the newest file for appending, or starts the first file.
func (l *Log) openFile(content dirContent) error {
	if content.fileNumber == 0 {
		return l.startFile(nil)
	}
	path := logPath(l.dir, content.fileNumber)
	if content.validLength < content.length {
		if err := l.files.Truncate(path, int64(content.validLength)); err != nil {
			return err
		}
	}
	var err error
	if l.file, err = l.files.OpenAppend(path); err != nil {
		return err
	}
	// The previous process may have ended before it synced its last writes.
	if err := l.file.Sync(); err != nil {
		return err
	}
	return l.files.SyncDir(l.dir)
}

// SetDiskSize sets the size of the disk in bytes, 0 if unknown.
func (l *Log) SetDiskSize(bytes int) { l.diskSize = bytes }

// SnapshotDue reports whether the next write should be a snapshot.
func (l *Log) SnapshotDue() bool {
	return l.entries >= maxEntriesPerFile || l.size >= l.sizeLimit()
}

// sizeLimit returns the file size, in bytes, at which a snapshot is due.
func (l *Log) sizeLimit() int {
	limit := maxCompactionBytes
	if l.diskSize > 0 {
		limit = min(limit, l.diskSize/diskDivisor)
	}
	return max(min(max(compactionGrowth*l.snapshotSize, minCompactionBytes), limit), 2*l.snapshotSize)
}

// Write appends entries and syncs them. Entries that begin with a snapshot replace all
// earlier entries. If a snapshot is due, or needed after a failed write, Write writes the
// entry that snapshot returns instead of the entries; snapshot may be nil. After an error,
// Write fails until it can write a snapshot.
func (l *Log) Write(entries []*schema.WALEntry, snapshot func() *schema.WALEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if snapshot != nil && (l.file == nil || l.SnapshotDue()) && !entries[0].Snapshot {
		entries = []*schema.WALEntry{snapshot()}
	}
	if entries[0].Snapshot {
		return l.compact(entries)
	}
	if l.file == nil {
		return errSnapshotNeeded
	}
	return l.append(entries)
}

// append writes one frame to the file and syncs it.
func (l *Log) append(entries []*schema.WALEntry) error {
	frame, err := appendFrame(nil, l.frameNumber+1, entries)
	if err == nil {
		_, err = l.file.Write(frame)
	}
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return l.closeAfterError(err)
	}
	l.frameNumber++
	l.entries += len(entries)
	l.size += len(frame)
	return nil
}

// closeAfterError closes the file after a failed write, so that nothing more is appended
// to it: after a loss of power the file may or may not contain the failed write.
func (l *Log) closeAfterError(err error) error {
	err = errors.Join(err, l.file.Close())
	l.file = nil
	return err
}

// compact starts the next file with a snapshot and removes the earlier files.
func (l *Log) compact(entries []*schema.WALEntry) error {
	if err := l.startFile(entries); err != nil {
		if l.file != nil {
			err = l.closeAfterError(err)
		}
		return err
	}
	names, err := l.files.List(l.dir)
	if err == nil {
		newest := filepath.Base(logPath(l.dir, l.fileNumber))
		err = l.removeFiles(slices.DeleteFunc(names, func(name string) bool {
			return name == newest || !fileName.MatchString(name) && !unfinishedFileName.MatchString(name)
		}))
	}
	_ = err // files that remain are removed at the next snapshot or start
	return nil
}

// startFile creates the next file with the entries and switches to it. If the file cannot
// be completed, it is removed, since on a full disk it would take up the space that the
// next attempt needs. This is safe: nothing that was acknowledged depends on it, and the
// previous file still exists.
func (l *Log) startFile(entries []*schema.WALEntry) error {
	data, frames := fileHeader(), uint64(0)
	if len(entries) > 0 {
		var err error
		if data, err = appendFrame(data, 1, entries); err != nil {
			return err
		}
		frames = 1
	}
	file, err := l.createFile(l.fileNumber+1, data)
	// The number of a failed attempt is not reused: its file may reappear under that name
	// after a loss of power.
	l.fileNumber++
	if err != nil {
		return err
	}
	old := l.file
	l.file, l.frameNumber, l.entries = file, frames, len(entries)
	l.size, l.snapshotSize = len(data), len(data)
	if old != nil {
		_ = old.Close() // the new file replaces it
	}
	return nil
}

// createFile writes and syncs a file under a temporary name, renames it to its final name
// and makes that name durable.
func (l *Log) createFile(number uint64, data []byte) (File, error) {
	path := logPath(l.dir, number)
	unfinished := path + unfinishedSuffix
	file, err := l.files.Create(unfinished)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.files.Rename(unfinished, path)
	}
	if err == nil {
		err = l.files.SyncDir(l.dir)
	}
	if err != nil {
		err = errors.Join(err, file.Close())
		_ = l.files.Remove(unfinished)
		_ = l.files.Remove(path)
		return nil, err
	}
	return file, nil
}

// removeFiles removes files from the directory and makes their removal durable.
func (l *Log) removeFiles(names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, name := range names {
		// The first file may have overwritten and renamed a leftover file.
		if err := l.files.Remove(filepath.Join(l.dir, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return l.files.SyncDir(l.dir)
}

// Close closes the log.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	return file.Close()
}

// Quarantine renames the directory of a corrupt log and returns its new name, so that the
// voter starts with an empty disk and joins as a new voter. Only the latest quarantined
// directory is kept, since the disk is small.
func Quarantine(dir string) (string, error) {
	to := dir + ".damaged"
	if err := os.RemoveAll(to); err != nil {
		return to, err
	}
	if err := os.Rename(dir, to); err != nil {
		return to, err
	}
	return to, osFileSystem{}.SyncDir(filepath.Dir(dir))
}
