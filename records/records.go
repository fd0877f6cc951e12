// Package records keeps mergeable records: anyone may write one, the greater
// stamp wins wherever two meet, and copies are compared by digests over ranges
// of keys and mended from the newer (design 6).
package records

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"

	"stoneford/schema"
	"stoneford/step"
)

const (
	leafSize = 8 // a range with no more records is sent instead of split
	split    = 8 // parts a range that differs is split into
)

// Effects of a step. New has the records that became newer here.
type Effects struct {
	Send []step.Send
	New  []*schema.Record
}

// Store is one copy of the records.
type Store struct {
	self string
	m    map[string]*schema.Record
	ks   []string         // all keys, in order
	at   map[string]int64 // when the newest was taken in, by this copy's clock
}

// New makes an empty copy.
func New(self string) *Store {
	return &Store{self: self, m: map[string]*schema.Record{}, at: map[string]int64{}}
}

// Get returns one record.
func (s *Store) Get(k string) *schema.Record { return s.m[k] }

// AgeUs is how long ago a record last became newer here.
func (s *Store) AgeUs(now int64, k string) int64 { return now - s.at[k] }

// Each goes over the records of a prefix in order.
func (s *Store) Each(prefix string, f func(*schema.Record)) {
	i, _ := slices.BinarySearch(s.ks, prefix)
	for _, k := range slices.Clone(s.ks[i:]) { // f may forget records
		if !strings.HasPrefix(k, prefix) {
			return
		}
		f(s.m[k])
	}
}

// Len is the number of records.
func (s *Store) Len() int { return len(s.m) }

func newer(a, b *schema.Record) bool {
	if b == nil || a.Stamp != b.Stamp {
		return b == nil || a.Stamp > b.Stamp
	}
	return bytes.Compare(a.Data, b.Data) > 0
}

// Put merges records in.
func (s *Store) Put(now int64, rs ...*schema.Record) []*schema.Record {
	var out []*schema.Record
	for _, r := range rs {
		if newer(r, s.m[r.Key]) {
			if i, ok := slices.BinarySearch(s.ks, r.Key); !ok {
				s.ks = slices.Insert(s.ks, i, r.Key)
			}
			s.m[r.Key], s.at[r.Key] = r, now
			out = append(out, r)
		}
	}
	return out
}

// Forget drops a record here only; it comes back if another copy still has it.
func (s *Store) Forget(k string) {
	delete(s.m, k)
	delete(s.at, k)
	if i, ok := slices.BinarySearch(s.ks, k); ok {
		s.ks = slices.Delete(s.ks, i, i+1)
	}
}

// keys are those of a range; the next change of the store voids them.
func (s *Store) keys(from, until string) []string {
	i, _ := slices.BinarySearch(s.ks, from)
	j := len(s.ks)
	if until != "" {
		j, _ = slices.BinarySearch(s.ks, until)
	}
	return s.ks[i:max(i, j)]
}

func (s *Store) digest(ks []string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, k := range ks {
		h.Write([]byte(k))
		binary.LittleEndian.PutUint64(b[:], s.m[k].Stamp)
		h.Write(b[:])
		h.Write(s.m[k].Data)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

func (s *Store) rangeDigest(from, until string) *schema.RangeDigest {
	ks := s.keys(from, until)
	return &schema.RangeDigest{From: from, Until: until, Digest: s.digest(ks), Count: uint32(len(ks))}
}

// Compare opens a comparison of one range with another copy.
func (s *Store) Compare(to, from, until string) step.Send {
	return s.out(to, &schema.Envelope{Body: &schema.Envelope_RangeDigests{RangeDigests: &schema.RangeDigests{
		Ranges: []*schema.RangeDigest{s.rangeDigest(from, until)}}}})
}

// Step takes another copy's digests or records.
func (s *Store) Step(now int64, e *schema.Envelope) Effects {
	var fx Effects
	switch b := e.Body.(type) {
	case *schema.Envelope_Records:
		fx.New = s.Put(now, b.Records.Records...)
		// What the sender holds an older record of is mended in return.
		var back []*schema.Record
		for _, r := range b.Records.Records {
			if m := s.m[r.Key]; newer(m, r) {
				back = append(back, m)
			}
		}
		if len(back) > 0 {
			fx.Send = append(fx.Send, s.out(e.From, &schema.Envelope{Body: &schema.Envelope_Records{Records: &schema.Records{Records: back}}}))
		}
	case *schema.Envelope_RangeDigests:
		s.ranges(&fx, e.From, b.RangeDigests.Ranges)
	}
	return fx
}

// ranges replies to each range that differs: a small one with its records, and
// where the other copy has some too, with a digest that asks for them; a large
// one split into parts.
func (s *Store) ranges(fx *Effects, from string, rs []*schema.RangeDigest) {
	var parts []*schema.RangeDigest
	var recs []*schema.Record
	for _, r := range rs {
		ks := s.keys(r.From, r.Until)
		d := s.digest(ks)
		if d == r.Digest && len(ks) == int(r.Count) {
			continue
		}
		if len(ks) <= leafSize || r.Count == 0 {
			for _, k := range ks {
				recs = append(recs, s.m[k])
			}
			if r.Count > 0 {
				// An empty claim asks for all the other holds of the range.
				parts = append(parts, &schema.RangeDigest{From: r.From, Until: r.Until})
			}
			continue
		}
		lo := r.From
		for i := 1; i <= split; i++ {
			hi := r.Until
			if i < split {
				hi = ks[len(ks)*i/split]
			}
			if hi == lo && i < split {
				continue
			}
			parts = append(parts, s.rangeDigest(lo, hi))
			lo = hi
		}
	}
	if len(recs) > 0 {
		fx.Send = append(fx.Send, s.out(from, &schema.Envelope{Body: &schema.Envelope_Records{Records: &schema.Records{Records: recs}}}))
	}
	if len(parts) > 0 {
		fx.Send = append(fx.Send, s.out(from, &schema.Envelope{Body: &schema.Envelope_RangeDigests{RangeDigests: &schema.RangeDigests{Ranges: parts}}}))
	}
}

func (s *Store) out(to string, e *schema.Envelope) step.Send {
	e.From = s.self
	return step.Send{To: to, Env: e}
}
