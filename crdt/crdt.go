// Package crdt keeps mergeable records: anyone may write one, the greater
// stamp wins wherever two meet, and copies are compared by digests over ranges
// of keys and mended from the newer (design 6).
package crdt

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	maxUnsplitRecords = 8 // a range with no more records is sent instead of split
	rangeFanOut       = 8 // parts a range that differs is split into
)

// Effects of a step. New has the records that became newer here.
type Effects struct {
	Send    []statemachine.Send
	Updated []*schema.Record
}

// Store is one copy of the records.
type Store struct {
	self       string
	records    map[string]*schema.Record
	sortedKeys []string         // all keys, in order
	updatedAt  map[string]int64 // when the newest was taken in, by this copy's clock
}

// New makes an empty copy.
func New(self string) *Store {
	return &Store{self: self, records: map[string]*schema.Record{}, updatedAt: map[string]int64{}}
}

// Get returns one record.
func (s *Store) Get(k string) *schema.Record { return s.records[k] }

// AgeUs is how long ago a record last became newer here.
func (s *Store) AgeUs(now int64, k string) int64 { return now - s.updatedAt[k] }

// ForEach goes over the records of a prefix in order.
func (s *Store) ForEach(prefix string, f func(*schema.Record)) {
	i, _ := slices.BinarySearch(s.sortedKeys, prefix)
	for _, k := range slices.Clone(s.sortedKeys[i:]) { // f may forget records
		if !strings.HasPrefix(k, prefix) {
			return
		}
		f(s.records[k])
	}
}

// Len is the number of records.
func (s *Store) Len() int { return len(s.records) }

func supersedes(a, b *schema.Record) bool {
	if b == nil || a.Timestamp != b.Timestamp {
		return b == nil || a.Timestamp > b.Timestamp
	}
	return bytes.Compare(a.Data, b.Data) > 0
}

// Merge merges records in.
func (s *Store) Merge(now int64, records ...*schema.Record) []*schema.Record {
	var out []*schema.Record
	for _, r := range records {
		if supersedes(r, s.records[r.Key]) {
			if i, ok := slices.BinarySearch(s.sortedKeys, r.Key); !ok {
				s.sortedKeys = slices.Insert(s.sortedKeys, i, r.Key)
			}
			s.records[r.Key], s.updatedAt[r.Key] = r, now
			out = append(out, r)
		}
	}
	return out
}

// Forget drops a record here only; it comes back if another copy still has it.
func (s *Store) Forget(k string) {
	delete(s.records, k)
	delete(s.updatedAt, k)
	if i, ok := slices.BinarySearch(s.sortedKeys, k); ok {
		s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	}
}

// keysInRange are those of a range; the next change of the store voids them.
func (s *Store) keysInRange(from, until string) []string {
	i, _ := slices.BinarySearch(s.sortedKeys, from)
	j := len(s.sortedKeys)
	if until != "" {
		j, _ = slices.BinarySearch(s.sortedKeys, until)
	}
	return s.sortedKeys[i:max(i, j)]
}

func (s *Store) digest(keys []string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, k := range keys {
		h.Write([]byte(k))
		binary.LittleEndian.PutUint64(b[:], s.records[k].Timestamp)
		h.Write(b[:])
		h.Write(s.records[k].Data)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

func (s *Store) rangeDigest(from, until string) *schema.RangeDigest {
	keys := s.keysInRange(from, until)
	return &schema.RangeDigest{Start: from, End: until, Digest: s.digest(keys), Count: uint32(len(keys))}
}

// CompareRange opens a comparison of one range with another copy.
func (s *Store) CompareRange(to, from, until string) statemachine.Send {
	return s.envelopeTo(to, &schema.Envelope{Body: &schema.Envelope_RangeDigests{RangeDigests: &schema.RangeDigests{
		Ranges: []*schema.RangeDigest{s.rangeDigest(from, until)}}}})
}

// Step takes another copy's digests or records.
func (s *Store) Step(now int64, e *schema.Envelope) Effects {
	var effects Effects
	switch b := e.Body.(type) {
	case *schema.Envelope_Records:
		effects.Updated = s.Merge(now, b.Records.Records...)
		// What the sender holds an older record of is mended in return.
		var back []*schema.Record
		for _, r := range b.Records.Records {
			if m := s.records[r.Key]; supersedes(m, r) {
				back = append(back, m)
			}
		}
		if len(back) > 0 {
			effects.Send = append(effects.Send, s.envelopeTo(e.From, &schema.Envelope{Body: &schema.Envelope_Records{Records: &schema.Records{Records: back}}}))
		}
	case *schema.Envelope_RangeDigests:
		s.handleRangeDigests(&effects, e.From, b.RangeDigests.Ranges)
	}
	return effects
}

// handleRangeDigests replies to each range that differs: a small one with its records, and
// where the other copy has some too, with a digest that asks for them; a large
// one split into parts.
func (s *Store) handleRangeDigests(effects *Effects, from string, records []*schema.RangeDigest) {
	var parts []*schema.RangeDigest
	var recs []*schema.Record
	for _, r := range records {
		keys := s.keysInRange(r.Start, r.End)
		d := s.digest(keys)
		if d == r.Digest && len(keys) == int(r.Count) {
			continue
		}
		if len(keys) <= maxUnsplitRecords || r.Count == 0 {
			for _, k := range keys {
				recs = append(recs, s.records[k])
			}
			if r.Count > 0 {
				// An empty claim asks for all the other holds of the range.
				parts = append(parts, &schema.RangeDigest{Start: r.Start, End: r.End})
			}
			continue
		}
		lo := r.Start
		for i := 1; i <= rangeFanOut; i++ {
			hi := r.End
			if i < rangeFanOut {
				hi = keys[len(keys)*i/rangeFanOut]
			}
			if hi == lo && i < rangeFanOut {
				continue
			}
			parts = append(parts, s.rangeDigest(lo, hi))
			lo = hi
		}
	}
	if len(recs) > 0 {
		effects.Send = append(effects.Send, s.envelopeTo(from, &schema.Envelope{Body: &schema.Envelope_Records{Records: &schema.Records{Records: recs}}}))
	}
	if len(parts) > 0 {
		effects.Send = append(effects.Send, s.envelopeTo(from, &schema.Envelope{Body: &schema.Envelope_RangeDigests{RangeDigests: &schema.RangeDigests{Ranges: parts}}}))
	}
}

func (s *Store) envelopeTo(to string, e *schema.Envelope) statemachine.Send {
	e.From = s.self
	return statemachine.Send{To: to, Envelope: e}
}
