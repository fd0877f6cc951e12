// Package wal is a voter's write-ahead log on disk (design 2.4).
//
// A log is one file, "log-" and its number, that begins with the format's name
// and goes on with frames. What one call of Write brings is one frame, written
// at once and synced before Write returns, so that of a file which was cut off
// by a loss of power only the last frame can be torn; a frame that cannot be
// read with a sound one behind it is damage. A snapshot begins the next file,
// which gets its name once it is synced; the file before it is removed after
// that name lasts. So every file but the first begins with a whole snapshot, and
// one that does not is damage too.
//
// The log is truncated by a snapshot once it is several times as long as the
// last one, so that its size, and with it the time that a restart takes, is
// bounded by the size of the state and not by its history (design 19).
package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

var (
	// ErrCorrupt says that something the log once kept cannot be read any more.
	ErrCorrupt = errs.Class("the voter's log is damaged")
	// ErrFormat says that a log is of a format that this program does not read.
	ErrFormat = errs.Class("the voter's log is of another format")
)

// Format is the number of the format that is written.
const Format = 3

// When a snapshot is due: past so many entries, or past so many bytes for each
// byte of the last snapshot, but not below minCompactionBytes, which spares a small state
// frequent snapshots, nor above maxCompactionBytes or diskDivisor of the disk. Two snapshots
// always lie at least the length of one apart, so that not every write of a large
// state is one.
const (
	maxEntriesPerFile  = 4096
	compactionGrowth   = 8
	minCompactionBytes = 512 << 10
	maxCompactionBytes = 8 << 20
	diskDivisor        = 8
)

// A frame's head: length of what follows the head, check sum of that and of the
// number, and the frame's number.
const frameHeaderLength = 16

var (
	checksumTable      = crc32.MakeTable(crc32.Castagnoli)
	fileName           = regexp.MustCompile(`^log-\d{20}$`)
	unfinishedFileName = regexp.MustCompile(`^log-\d{20}\.new$`)
	formatOneFileName  = regexp.MustCompile(`^\d{20}$`) // format 1
	magic              = []byte("stoneford voter ")
)

func fileHeader() []byte { return binary.LittleEndian.AppendUint32(bytes.Clone(magic), Format) }

// Log is an open log. It is not safe for use by several goroutines.
type Log struct {
	files        FileSystem
	dir          string
	file         File // nil after a failed write, until a snapshot was written
	fileNumber   uint64
	frameNumber  uint64
	entries      int
	size         int
	snapshotSize int // bytes of the snapshot that the file begins with
	diskSize     int // bytes of the disk, 0 if unknown
}

// Open opens the log in a folder and plays it back; the folder is made if it is
// not there. A frame that was cut short at the very end was never synced, so
// nothing rests on it and it is dropped. Anything else that cannot be read is
// ErrCorrupt: the caller has to treat the disk as lost. What was played back is
// synced.
func Open(dir string, restore func(*schema.WALEntry)) (*Log, error) {
	return OpenWith(osFileSystem{}, dir, restore)
}

// OpenWith is Open on another disk.
func OpenWith(files FileSystem, dir string, restore func(*schema.WALEntry)) (*Log, error) {
	if err := files.MakeDir(dir); err != nil {
		return nil, err
	}
	if err := files.SyncDir(filepath.Dir(dir)); err != nil {
		return nil, err
	}
	content, err := readDir(files, dir)
	if err != nil {
		return nil, err
	}
	l := &Log{files: files, dir: dir, fileNumber: content.fileNumber, frameNumber: content.frames, entries: len(content.entries), size: content.validLength, snapshotSize: content.snapshotSize}
	if content.fileNumber == 0 {
		if err := l.startFile(nil); err != nil {
			return nil, errs.Combine(err, l.Close())
		}
	} else {
		path := l.path(content.fileNumber)
		if content.validLength < content.length {
			if err := files.Truncate(path, int64(content.validLength)); err != nil {
				return nil, err
			}
		}
		if l.file, err = files.OpenAppend(path); err != nil {
			return nil, err
		}
		// A process that ended may have left what it had not synced.
		if err := l.file.Sync(); err != nil {
			return nil, errs.Combine(err, l.Close())
		}
		if err := files.SyncDir(dir); err != nil {
			return nil, errs.Combine(err, l.Close())
		}
	}
	if err := l.removeFiles(content.leftovers); err != nil {
		return nil, errs.Combine(err, l.Close())
	}
	for _, e := range content.entries {
		restore(e)
	}
	return l, nil
}

// fileContent is what a folder holds.
type fileContent struct {
	fileNumber   uint64 // of the file in force, 0 if there is none
	frames       uint64
	entries      []*schema.WALEntry
	validLength  int // bytes up to the end of the last sound frame
	snapshotSize int // bytes up to the end of the snapshot that it begins with
	length       int
	leftovers    []string // files that are left over
}

func readDir(files FileSystem, dir string) (fileContent, error) {
	var content fileContent
	names, err := files.List(dir)
	if err != nil {
		return content, err
	}
	newest := ""
	for _, n := range names {
		switch {
		case formatOneFileName.MatchString(n):
			return content, ErrFormat.New("%s is of format 1", n)
		case unfinishedFileName.MatchString(n):
			content.leftovers = append(content.leftovers, n)
		case fileName.MatchString(n):
			content.leftovers = append(content.leftovers, n)
			newest = max(newest, n)
		}
	}
	if newest == "" {
		return content, nil
	}
	content.leftovers = slices.DeleteFunc(content.leftovers, func(n string) bool { return n == newest })
	if content.fileNumber, err = strconv.ParseUint(newest[len("log-"):], 10, 64); err != nil {
		return content, ErrFormat.Wrap(err)
	}
	b, err := files.ReadFile(filepath.Join(dir, newest))
	if err != nil {
		return content, err
	}
	return content, content.parse(newest, b)
}

// parse reads a file. Its head is sound in any file that has its name, since it
// was synced before that.
func (c *fileContent) parse(file string, b []byte) error {
	header := fileHeader()
	c.length = len(b)
	switch {
	case len(b) < len(header) || !bytes.Equal(b[:len(magic)], magic):
		return ErrCorrupt.New("%s does not begin as a log does", file)
	case !bytes.Equal(b[:len(header)], header):
		return ErrFormat.New("%s is of format %d", file, binary.LittleEndian.Uint32(b[len(magic):]))
	}
	c.validLength = len(header)
	for c.validLength < len(b) {
		body, ok := parseFrame(b[c.validLength:], c.frames+1)
		if !ok {
			break
		}
		batch := &schema.WALBatch{}
		if err := proto.Unmarshal(body, batch); err != nil {
			return ErrCorrupt.New("%s: frame %d: %v", file, c.frames+1, err)
		}
		if c.frames == 0 && len(batch.Entries) > 0 && batch.Entries[0].Snapshot {
			c.snapshotSize = c.validLength + frameHeaderLength + len(body)
		}
		c.entries = append(c.entries, batch.Entries...)
		c.frames++
		c.validLength += frameHeaderLength + len(body)
	}
	if c.fileNumber > 1 && c.snapshotSize == 0 {
		return ErrCorrupt.New("%s does not begin with a whole snapshot", file)
	}
	// A sound frame behind the place means that it was not the end that tore.
	for i := c.validLength + 1; i+frameHeaderLength <= len(b); i++ {
		if n := binary.LittleEndian.Uint64(b[i+8:]); n > c.frames && n < c.frames+1<<32 {
			if _, ok := parseFrame(b[i:], n); ok {
				return ErrCorrupt.New("%s cannot be read from byte %d, and goes on behind it", file, c.validLength)
			}
		}
	}
	return nil
}

// parseFrame is the body of the frame that b begins with, if it is sound and bears
// the number.
func parseFrame(b []byte, number uint64) ([]byte, bool) {
	if len(b) < frameHeaderLength || binary.LittleEndian.Uint64(b[8:]) != number {
		return nil, false
	}
	n := uint64(binary.LittleEndian.Uint32(b))
	if n > uint64(len(b)-frameHeaderLength) || crc32.Checksum(b[8:frameHeaderLength+n], checksumTable) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, false
	}
	return b[frameHeaderLength : frameHeaderLength+n], true
}

// appendFrame adds a frame to b.
func appendFrame(b []byte, number uint64, es []*schema.WALEntry) ([]byte, error) {
	at := len(b)
	b = append(b, make([]byte, frameHeaderLength)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, &schema.WALBatch{Entries: es})
	if err != nil {
		return nil, err
	}
	f := b[at:]
	binary.LittleEndian.PutUint32(f, uint32(len(f)-frameHeaderLength))
	binary.LittleEndian.PutUint64(f[8:], number)
	binary.LittleEndian.PutUint32(f[4:], crc32.Checksum(f[8:], checksumTable))
	return b, nil
}

func (l *Log) path(n uint64) string { return filepath.Join(l.dir, fmt.Sprintf("log-%020d", n)) }

// startFile makes the next file the one in force, with what it is to begin with. A
// file that could not be made whole is removed again: on a full disk it would
// take the room that the next try needs. Nothing that was told rests on it, and
// the file before it is still there.
func (l *Log) startFile(entries []*schema.WALEntry) (err error) {
	data, frames := fileHeader(), uint64(0)
	if len(entries) > 0 {
		if data, err = appendFrame(data, 1, entries); err != nil {
			return err
		}
		frames = 1
	}
	path := l.path(l.fileNumber + 1)
	f, err := l.files.Create(path + ".new")
	if err != nil {
		l.fileNumber++
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.files.Rename(path+".new", path)
	}
	if err == nil {
		err = l.files.SyncDir(l.dir)
	}
	if err != nil {
		// The next try takes the number after it: a loss of power may bring this
		// file back under its name.
		l.fileNumber++
		err = errs.Combine(err, f.Close())
		_ = l.files.Remove(path + ".new")
		_ = l.files.Remove(path)
		return err
	}
	old := l.file
	l.file, l.fileNumber, l.frameNumber, l.entries, l.size, l.snapshotSize = f, l.fileNumber+1, frames, len(entries), len(data), len(data)
	if old != nil {
		_ = old.Close() // nothing rests on it any more
	}
	return nil
}

// removeFiles removes files that are left over; what is not removed now is at the
// next start.
func (l *Log) removeFiles(names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, n := range names {
		// The first file may have been made over one that was left over.
		if err := l.files.Remove(filepath.Join(l.dir, n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return l.files.SyncDir(l.dir)
}

// SetDiskSize tells how many bytes the disk holds; 0 is unknown.
func (l *Log) SetDiskSize(bytes int) { l.diskSize = bytes }

// sizeLimit is how many bytes the log may have until a snapshot is due.
func (l *Log) sizeLimit() int {
	maxSize := maxCompactionBytes
	if l.diskSize > 0 {
		maxSize = min(maxSize, l.diskSize/diskDivisor)
	}
	return max(min(max(compactionGrowth*l.snapshotSize, minCompactionBytes), maxSize), 2*l.snapshotSize)
}

// SnapshotDue says that the next write should bring a snapshot.
func (l *Log) SnapshotDue() bool { return l.entries >= maxEntriesPerFile || l.size >= l.sizeLimit() }

// Write appends and syncs. Entries that begin with a snapshot replace what came
// before; where one is due and snapshot is not nil, what it returns takes the
// place of the entries. After an error nothing is known of what the disk holds
// of them: only a write that brings a snapshot is taken from then on.
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
		return errs.New("an earlier write failed, and this one brings no snapshot")
	}
	data, err := appendFrame(nil, l.frameNumber+1, entries)
	if err == nil {
		_, err = l.file.Write(data)
	}
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		err = errs.Combine(err, l.file.Close())
		l.file = nil
		return err
	}
	l.frameNumber, l.entries, l.size = l.frameNumber+1, l.entries+len(entries), l.size+len(data)
	return nil
}

func (l *Log) compact(entries []*schema.WALEntry) error {
	if err := l.startFile(entries); err != nil {
		if l.file != nil {
			err = errs.Combine(err, l.file.Close())
			l.file = nil // what came before may be in force again after a loss of power, or not
		}
		return err
	}
	names, err := l.files.List(l.dir)
	if err == nil {
		current := filepath.Base(l.path(l.fileNumber))
		err = l.removeFiles(slices.DeleteFunc(names, func(n string) bool {
			return n == current || !fileName.MatchString(n) && !unfinishedFileName.MatchString(n)
		}))
	}
	_ = err // what is left over is removed at the next snapshot or start
	return nil
}

// Close closes the log.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	f := l.file
	l.file = nil
	return f.Close()
}

// Quarantine moves a damaged log out of the way, so that the voter starts with an
// empty disk and joins anew. Only one is kept: the disk is small.
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
