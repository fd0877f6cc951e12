package crdt

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// maxUnsplitRecords is the maximum number of records in a differing range that is sent
	// completely instead of being split. A higher number sends more records that are equal; a
	// lower number needs more messages.
	maxUnsplitRecords = 8
	// rangeFanOut is the number of parts into which a larger range is split.
	rangeFanOut = 8
)

// Effects are the actions that the caller has to carry out after a step.
type Effects struct {
	Send    []statemachine.Send
	Updated []*schema.Record // records that are new or replaced an older version
}

// KeyRange is the range of keys from Start, inclusive, to End, exclusive. An empty End
// means no upper bound, so the zero value contains all keys.
type KeyRange struct{ Start, End string }

// CompareRange starts a comparison of a range of keys with another replica.
func (s *Store) CompareRange(to string, keys KeyRange) statemachine.Send {
	return s.digestsTo(to, []*schema.RangeDigest{s.rangeDigest(keys)})
}

// Step handles another replica's digests or records; other messages are ignored.
func (s *Store) Step(now int64, envelope *schema.Envelope) Effects {
	var effects Effects
	switch body := envelope.Body.(type) {
	case *schema.Envelope_Records:
		effects.Updated = s.Merge(now, body.Records.Records...)
		s.repairSender(&effects, envelope.From, body.Records.Records)
	case *schema.Envelope_RangeDigests:
		s.handleRangeDigests(&effects, envelope.From, body.RangeDigests.Ranges)
	}
	return effects
}

// repairSender sends back the records of which the sender has an older version.
func (s *Store) repairSender(effects *Effects, from string, received []*schema.Record) {
	var newer []*schema.Record
	for _, record := range received {
		if own := s.records[record.Key]; supersedes(own, record) {
			newer = append(newer, own)
		}
	}
	if len(newer) > 0 {
		effects.Send = append(effects.Send, s.recordsTo(from, newer))
	}
}

// handleRangeDigests replies to each range that differs. The reply to a small range contains
// its records and, if the other replica has records in it too, an empty digest that requests
// them. The reply to a large range contains the digests of its parts.
func (s *Store) handleRangeDigests(effects *Effects, from string, ranges []*schema.RangeDigest) {
	var digests []*schema.RangeDigest
	var records []*schema.Record
	for _, theirs := range ranges {
		keys := s.keysInRange(KeyRange{theirs.Start, theirs.End})
		if s.digest(keys) == theirs.Digest && len(keys) == int(theirs.Count) {
			continue
		}
		if len(keys) > maxUnsplitRecords && theirs.Count > 0 {
			digests = append(digests, s.splitRange(theirs, keys)...)
			continue
		}
		for _, key := range keys {
			records = append(records, s.records[key])
		}
		if theirs.Count > 0 {
			// An empty digest differs from any records, so it requests the whole range.
			digests = append(digests, &schema.RangeDigest{Start: theirs.Start, End: theirs.End})
		}
	}
	if len(records) > 0 {
		effects.Send = append(effects.Send, s.recordsTo(from, records))
	}
	if len(digests) > 0 {
		effects.Send = append(effects.Send, s.digestsTo(from, digests))
	}
}

// splitRange returns the digests of the parts of a range that contains the given keys. The
// parts have about the same number of keys.
func (s *Store) splitRange(all *schema.RangeDigest, keys []string) []*schema.RangeDigest {
	var parts []*schema.RangeDigest
	start := all.Start
	for i := 1; i <= rangeFanOut; i++ {
		last := i == rangeFanOut
		end := all.End
		if !last {
			end = keys[len(keys)*i/rangeFanOut]
		}
		if end == start && !last {
			continue
		}
		parts = append(parts, s.rangeDigest(KeyRange{start, end}))
		start = end
	}
	return parts
}

// keysInRange returns the keys in a range that have a record. The slice is valid until
// the store changes.
func (s *Store) keysInRange(keys KeyRange) []string {
	first, _ := slices.BinarySearch(s.sortedKeys, keys.Start)
	last := len(s.sortedKeys)
	if keys.End != "" {
		last, _ = slices.BinarySearch(s.sortedKeys, keys.End)
	}
	return s.sortedKeys[first:max(first, last)]
}

// digest returns a hash of the keys, timestamps and data of the records with the keys.
func (s *Store) digest(keys []string) uint64 {
	h := fnv.New64a()
	var timestamp [8]byte
	for _, key := range keys {
		h.Write([]byte(key))
		binary.LittleEndian.PutUint64(timestamp[:], s.records[key].Timestamp)
		h.Write(timestamp[:])
		h.Write(s.records[key].Data)
		h.Write([]byte{0})
	}
	return h.Sum64()
}

func (s *Store) rangeDigest(keys KeyRange) *schema.RangeDigest {
	present := s.keysInRange(keys)
	return &schema.RangeDigest{Start: keys.Start, End: keys.End, Digest: s.digest(present), Count: uint32(len(present))}
}

func (s *Store) recordsTo(to string, records []*schema.Record) statemachine.Send {
	return statemachine.Send{To: to, Envelope: &schema.Envelope{From: s.self, Body: &schema.Envelope_Records{
		Records: &schema.Records{Records: records}}}}
}

func (s *Store) digestsTo(to string, ranges []*schema.RangeDigest) statemachine.Send {
	return statemachine.Send{To: to, Envelope: &schema.Envelope{From: s.self, Body: &schema.Envelope_RangeDigests{
		RangeDigests: &schema.RangeDigests{Ranges: ranges}}}}
}
