package crdt

import (
	"encoding/binary"
	"hash/fnv"
	"slices"

	"stoneford/schema"
	"stoneford/statemachine"
)

const (
	// maxUnsplitRecords is how many records a range that differs may hold to be sent
	// instead of split. More send records that are equal; fewer take more messages.
	maxUnsplitRecords = 8
	// rangeFanOut is how many parts a larger range is split into.
	rangeFanOut = 8
)

// Effects is what the caller has to carry out after a step.
type Effects struct {
	Send    []statemachine.Send
	Updated []*schema.Record // records that became newer here
}

// KeyRange is the keys from Start up to, but without, End. An empty End has no bound, so
// the zero value is all keys.
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

// repairSender sends back what the sender has an older record of.
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

// handleRangeDigests replies to each range that differs: to a small one with its
// records and, if the other replica has some too, an empty digest that asks for them;
// to a large one with digests of its parts.
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
			// An empty digest differs from anything, so it asks for the whole range.
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

// splitRange returns digests of the parts of a range that holds these keys, with about
// as many keys in each.
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

// keysInRange returns the keys of a range that have a record. The slice is valid until
// the store changes.
func (s *Store) keysInRange(keys KeyRange) []string {
	first, _ := slices.BinarySearch(s.sortedKeys, keys.Start)
	last := len(s.sortedKeys)
	if keys.End != "" {
		last, _ = slices.BinarySearch(s.sortedKeys, keys.End)
	}
	return s.sortedKeys[first:max(first, last)]
}

// digest hashes keys, timestamps and data of records.
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
