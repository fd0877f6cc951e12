// Package voterlog is a voter's write-ahead log on disk: entries with a check
// sum each, synced before write returns, compacted by snapshots (design 2.4).
package voterlog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/tidwall/wal"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// ErrDamaged says that something the log once kept cannot be read any more.
var ErrDamaged = errs.Class("the voter's log is damaged")

var table = crc32.MakeTable(crc32.Castagnoli)

// compactAt is how many entries the log holds before a snapshot takes their
// place.
const compactAt = 4096

// Log is an open log.
type Log struct {
	w     *wal.Log
	next  uint64
	first uint64
}

// Open opens the log in a folder and plays it back. An entry that a crash cut
// short at the very end was never synced, so nothing rests on it and it is
// dropped. Anything else that cannot be read is ErrDamaged: the caller has to
// treat the disk as lost.
func Open(folder string, restore func(*schema.VoterLog)) (*Log, error) {
	if err := dropTorn(folder); err != nil {
		return nil, err
	}
	w, err := wal.Open(folder, &wal.Options{NoSync: true, SegmentSize: 4 << 20, SegmentCacheSize: 2, LogFormat: wal.Binary})
	if errors.Is(err, wal.ErrCorrupt) {
		return nil, ErrDamaged.Wrap(err)
	} else if err != nil {
		return nil, err
	}
	l := &Log{w: w}
	if err := l.play(restore); err != nil {
		return nil, errs.Combine(err, w.Close())
	}
	return l, nil
}

func (l *Log) play(restore func(*schema.VoterLog)) error {
	first, err := l.w.FirstIndex()
	if err != nil {
		return err
	}
	last, err := l.w.LastIndex()
	if err != nil {
		return err
	}
	l.first, l.next = max(first, 1), last+1
	for i := l.first; i <= last; i++ {
		b, err := l.w.Read(i)
		if err != nil {
			return ErrDamaged.New("entry %d: %v", i, err)
		}
		e := &schema.VoterLog{}
		if !sound(b) || proto.Unmarshal(b[4:], e) != nil {
			return ErrDamaged.New("entry %d does not match its check sum", i)
		}
		restore(e)
	}
	return nil
}

func sound(b []byte) bool {
	return len(b) >= 4 && crc32.Checksum(b[4:], table) == binary.LittleEndian.Uint32(b)
}

// Write appends and syncs. Past a length a snapshot takes the place of what
// came before, these entries included.
func (l *Log) Write(es []*schema.VoterLog, snapshot func() *schema.VoterLog) error {
	if len(es) == 0 {
		return nil
	}
	compact := l.next-l.first > compactAt
	if compact {
		es = []*schema.VoterLog{snapshot()}
	}
	for _, e := range es {
		b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 4), e)
		if err != nil {
			return err
		}
		binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], table))
		if err := l.w.Write(l.next, b); err != nil {
			return err
		}
		l.next++
	}
	if err := l.w.Sync(); err != nil {
		return err
	}
	if compact {
		l.first = l.next - 1
		return l.w.TruncateFront(l.first)
	}
	return nil
}

// Close closes the log.
func (l *Log) Close() error { return l.w.Close() }

var segment = regexp.MustCompile(`^\d{20}$`)

// dropTorn cuts an entry off the end of the newest segment if the file ends
// inside it, or if nothing but zeros of it arrived.
func dropTorn(folder string) error {
	es, err := os.ReadDir(folder)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	var ns []string
	for _, e := range es {
		if segment.MatchString(e.Name()) {
			ns = append(ns, e.Name())
		}
	}
	if len(ns) == 0 {
		return nil
	}
	p := filepath.Join(folder, slices.Max(ns))
	b, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	good := 0
	for good < len(b) {
		n, m := binary.Uvarint(b[good:])
		whole := m > 0 && n <= uint64(len(b)-good-m)
		if !whole || n == 0 && len(bytes.Trim(b[good:], "\x00")) == 0 {
			break
		}
		// A whole entry of which only the length arrived.
		if end := good + m + int(n); end == len(b) && len(bytes.Trim(b[good+m:], "\x00")) == 0 {
			break
		}
		good += m + int(n)
	}
	if good == len(b) {
		return nil
	}
	// Sound entries behind the place mean that it was not the end that tore.
	for i := good + 1; i < len(b); i++ {
		if n, m := binary.Uvarint(b[i:]); m > 0 && n > 4 && n <= uint64(len(b)-i-m) && sound(b[i+m:i+m+int(n)]) {
			return ErrDamaged.New("%s cannot be read from byte %d, and goes on behind it", filepath.Base(p), good)
		}
	}
	if err := os.Truncate(p, int64(good)); err != nil {
		return err
	}
	return syncFile(p)
}

func syncFile(p string) error {
	f, err := os.OpenFile(p, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	return errs.Combine(f.Sync(), f.Close())
}

// SetAside moves a damaged log out of the way, so that the voter starts with an
// empty disk and joins anew.
func SetAside(folder string, stamp int64) (string, error) {
	to := folder + ".damaged-" + strconv.FormatInt(stamp, 10)
	return to, os.Rename(folder, to)
}
