// Package voterlog is a voter's write-ahead log on disk (design 2.4).
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
package voterlog

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
	// ErrDamaged says that something the log once kept cannot be read any more.
	ErrDamaged = errs.Class("the voter's log is damaged")
	// ErrFormat says that a log is of a format that this program does not read.
	ErrFormat = errs.Class("the voter's log is of another format")
)

// Format is the number of the format that is written.
const Format = 3

// When a snapshot is due: past so many entries, or past so many bytes for each
// byte of the last snapshot, but not below leastBytes, which spares a small state
// frequent snapshots, nor above mostBytes or diskShare of the disk. Two snapshots
// always lie at least the length of one apart, so that not every write of a large
// state is one.
const (
	compactEntries = 4096
	growth         = 8
	leastBytes     = 512 << 10
	mostBytes      = 8 << 20
	diskShare      = 8
)

// A frame's head: length of what follows the head, check sum of that and of the
// number, and the frame's number.
const headLength = 16

var (
	table   = crc32.MakeTable(crc32.Castagnoli)
	name    = regexp.MustCompile(`^log-\d{20}$`)
	half    = regexp.MustCompile(`^log-\d{20}\.new$`)
	former  = regexp.MustCompile(`^\d{20}$`) // format 1
	opening = []byte("stoneford voter ")
)

func fileHead() []byte { return binary.LittleEndian.AppendUint32(bytes.Clone(opening), Format) }

// Log is an open log. It is not safe for use by several goroutines.
type Log struct {
	files   Files
	folder  string
	file    File // nil after a failed write, until a snapshot was written
	number  uint64
	frame   uint64
	entries int
	bytes   int
	begun   int // bytes of the snapshot that the file begins with
	disk    int // bytes of the disk, 0 if unknown
}

// Open opens the log in a folder and plays it back; the folder is made if it is
// not there. A frame that was cut short at the very end was never synced, so
// nothing rests on it and it is dropped. Anything else that cannot be read is
// ErrDamaged: the caller has to treat the disk as lost. What was played back is
// synced.
func Open(folder string, restore func(*schema.VoterLog)) (*Log, error) {
	return OpenIn(osFiles{}, folder, restore)
}

// OpenIn is Open on another disk.
func OpenIn(files Files, folder string, restore func(*schema.VoterLog)) (*Log, error) {
	if err := files.MakeFolder(folder); err != nil {
		return nil, err
	}
	if err := files.SyncFolder(filepath.Dir(folder)); err != nil {
		return nil, err
	}
	c, err := read(files, folder)
	if err != nil {
		return nil, err
	}
	l := &Log{files: files, folder: folder, number: c.number, frame: c.frames, entries: len(c.entries), bytes: c.good, begun: c.begun}
	if c.number == 0 {
		if err := l.begin(nil); err != nil {
			return nil, errs.Combine(err, l.Close())
		}
	} else {
		p := l.path(c.number)
		if c.good < c.length {
			if err := files.Cut(p, int64(c.good)); err != nil {
				return nil, err
			}
		}
		if l.file, err = files.Append(p); err != nil {
			return nil, err
		}
		// A process that ended may have left what it had not synced.
		if err := l.file.Sync(); err != nil {
			return nil, errs.Combine(err, l.Close())
		}
		if err := files.SyncFolder(folder); err != nil {
			return nil, errs.Combine(err, l.Close())
		}
	}
	if err := l.sweep(c.others); err != nil {
		return nil, errs.Combine(err, l.Close())
	}
	for _, e := range c.entries {
		restore(e)
	}
	return l, nil
}

// content is what a folder holds.
type content struct {
	number  uint64 // of the file in force, 0 if there is none
	frames  uint64
	entries []*schema.VoterLog
	good    int // bytes up to the end of the last sound frame
	begun   int // bytes up to the end of the snapshot that it begins with
	length  int
	others  []string // files that are left over
}

func read(files Files, folder string) (content, error) {
	var c content
	ns, err := files.Names(folder)
	if err != nil {
		return c, err
	}
	newest := ""
	for _, n := range ns {
		switch {
		case former.MatchString(n):
			return c, ErrFormat.New("%s is of format 1", n)
		case half.MatchString(n):
			c.others = append(c.others, n)
		case name.MatchString(n):
			c.others = append(c.others, n)
			newest = max(newest, n)
		}
	}
	if newest == "" {
		return c, nil
	}
	c.others = slices.DeleteFunc(c.others, func(n string) bool { return n == newest })
	if c.number, err = strconv.ParseUint(newest[len("log-"):], 10, 64); err != nil {
		return c, ErrFormat.Wrap(err)
	}
	b, err := files.Read(filepath.Join(folder, newest))
	if err != nil {
		return c, err
	}
	return c, c.parse(newest, b)
}

// parse reads a file. Its head is sound in any file that has its name, since it
// was synced before that.
func (c *content) parse(file string, b []byte) error {
	h := fileHead()
	c.length = len(b)
	switch {
	case len(b) < len(h) || !bytes.Equal(b[:len(opening)], opening):
		return ErrDamaged.New("%s does not begin as a log does", file)
	case !bytes.Equal(b[:len(h)], h):
		return ErrFormat.New("%s is of format %d", file, binary.LittleEndian.Uint32(b[len(opening):]))
	}
	c.good = len(h)
	for c.good < len(b) {
		f, ok := frameAt(b[c.good:], c.frames+1)
		if !ok {
			break
		}
		es := &schema.VoterLogs{}
		if err := proto.Unmarshal(f, es); err != nil {
			return ErrDamaged.New("%s: frame %d: %v", file, c.frames+1, err)
		}
		if c.frames == 0 && len(es.Entries) > 0 && es.Entries[0].Snapshot {
			c.begun = c.good + headLength + len(f)
		}
		c.entries = append(c.entries, es.Entries...)
		c.frames++
		c.good += headLength + len(f)
	}
	if c.number > 1 && c.begun == 0 {
		return ErrDamaged.New("%s does not begin with a whole snapshot", file)
	}
	// A sound frame behind the place means that it was not the end that tore.
	for i := c.good + 1; i+headLength <= len(b); i++ {
		if n := binary.LittleEndian.Uint64(b[i+8:]); n > c.frames && n < c.frames+1<<32 {
			if _, ok := frameAt(b[i:], n); ok {
				return ErrDamaged.New("%s cannot be read from byte %d, and goes on behind it", file, c.good)
			}
		}
	}
	return nil
}

// frameAt is the body of the frame that b begins with, if it is sound and bears
// the number.
func frameAt(b []byte, number uint64) ([]byte, bool) {
	if len(b) < headLength || binary.LittleEndian.Uint64(b[8:]) != number {
		return nil, false
	}
	n := uint64(binary.LittleEndian.Uint32(b))
	if n > uint64(len(b)-headLength) || crc32.Checksum(b[8:headLength+n], table) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, false
	}
	return b[headLength : headLength+n], true
}

// frame adds a frame to b.
func frame(b []byte, number uint64, es []*schema.VoterLog) ([]byte, error) {
	at := len(b)
	b = append(b, make([]byte, headLength)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, &schema.VoterLogs{Entries: es})
	if err != nil {
		return nil, err
	}
	f := b[at:]
	binary.LittleEndian.PutUint32(f, uint32(len(f)-headLength))
	binary.LittleEndian.PutUint64(f[8:], number)
	binary.LittleEndian.PutUint32(f[4:], crc32.Checksum(f[8:], table))
	return b, nil
}

func (l *Log) path(n uint64) string { return filepath.Join(l.folder, fmt.Sprintf("log-%020d", n)) }

// begin makes the next file the one in force, with what it is to begin with. A
// file that could not be made whole is removed again: on a full disk it would
// take the room that the next try needs. Nothing that was told rests on it, and
// the file before it is still there.
func (l *Log) begin(es []*schema.VoterLog) (err error) {
	b, frames := fileHead(), uint64(0)
	if len(es) > 0 {
		if b, err = frame(b, 1, es); err != nil {
			return err
		}
		frames = 1
	}
	to := l.path(l.number + 1)
	f, err := l.files.Create(to + ".new")
	if err != nil {
		l.number++
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.files.Rename(to+".new", to)
	}
	if err == nil {
		err = l.files.SyncFolder(l.folder)
	}
	if err != nil {
		// The next try takes the number after it: a loss of power may bring this
		// file back under its name.
		l.number++
		err = errs.Combine(err, f.Close())
		_ = l.files.Remove(to + ".new")
		_ = l.files.Remove(to)
		return err
	}
	old := l.file
	l.file, l.number, l.frame, l.entries, l.bytes, l.begun = f, l.number+1, frames, len(es), len(b), len(b)
	if old != nil {
		_ = old.Close() // nothing rests on it any more
	}
	return nil
}

// sweep removes files that are left over; what is not removed now is at the
// next start.
func (l *Log) sweep(names []string) error {
	if len(names) == 0 {
		return nil
	}
	for _, n := range names {
		// The first file may have been made over one that was left over.
		if err := l.files.Remove(filepath.Join(l.folder, n)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return l.files.SyncFolder(l.folder)
}

// SetDiskSize tells how many bytes the disk holds; 0 is unknown.
func (l *Log) SetDiskSize(bytes int) { l.disk = bytes }

// limit is how many bytes the log may have until a snapshot is due.
func (l *Log) limit() int {
	most := mostBytes
	if l.disk > 0 {
		most = min(most, l.disk/diskShare)
	}
	return max(min(max(growth*l.begun, leastBytes), most), 2*l.begun)
}

// Due says that the next write should bring a snapshot.
func (l *Log) Due() bool { return l.entries >= compactEntries || l.bytes >= l.limit() }

// Write appends and syncs. Entries that begin with a snapshot replace what came
// before; where one is due and snapshot is not nil, what it returns takes the
// place of the entries. After an error nothing is known of what the disk holds
// of them: only a write that brings a snapshot is taken from then on.
func (l *Log) Write(es []*schema.VoterLog, snapshot func() *schema.VoterLog) error {
	if len(es) == 0 {
		return nil
	}
	if snapshot != nil && (l.file == nil || l.Due()) && !es[0].Snapshot {
		es = []*schema.VoterLog{snapshot()}
	}
	if es[0].Snapshot {
		return l.replace(es)
	}
	if l.file == nil {
		return errs.New("an earlier write failed, and this one brings no snapshot")
	}
	b, err := frame(nil, l.frame+1, es)
	if err == nil {
		_, err = l.file.Write(b)
	}
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		err = errs.Combine(err, l.file.Close())
		l.file = nil
		return err
	}
	l.frame, l.entries, l.bytes = l.frame+1, l.entries+len(es), l.bytes+len(b)
	return nil
}

func (l *Log) replace(es []*schema.VoterLog) error {
	if err := l.begin(es); err != nil {
		if l.file != nil {
			err = errs.Combine(err, l.file.Close())
			l.file = nil // what came before may be in force again after a loss of power, or not
		}
		return err
	}
	ns, err := l.files.Names(l.folder)
	if err == nil {
		now := filepath.Base(l.path(l.number))
		err = l.sweep(slices.DeleteFunc(ns, func(n string) bool { return n == now || !name.MatchString(n) && !half.MatchString(n) }))
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

// SetAside moves a damaged log out of the way, so that the voter starts with an
// empty disk and joins anew. Only one is kept: the disk is small.
func SetAside(folder string) (string, error) {
	to := folder + ".damaged"
	if err := os.RemoveAll(to); err != nil {
		return to, err
	}
	if err := os.Rename(folder, to); err != nil {
		return to, err
	}
	return to, osFiles{}.SyncFolder(filepath.Dir(folder))
}
