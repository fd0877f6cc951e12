package crdt

import (
	"bytes"
	"slices"
	"strings"

	"stoneford/schema"
)

// Store is one replica of the records.
type Store struct {
	self       string                    // address of this replica
	records    map[string]*schema.Record // by key
	sortedKeys []string
	updatedAt  map[string]int64 // time at which the newest record was merged, by key
}

// New returns an empty replica.
func New(self string) *Store {
	return &Store{self: self, records: map[string]*schema.Record{}, updatedAt: map[string]int64{}}
}

// Get returns the record with a key, nil if there is none.
func (s *Store) Get(key string) *schema.Record { return s.records[key] }

// AgeUs returns the microseconds since a newer version of a record was last merged.
func (s *Store) AgeUs(now int64, key string) int64 { return now - s.updatedAt[key] }

// ForEach calls visit for each record whose key has a prefix, in key order. visit may
// call Forget.
func (s *Store) ForEach(prefix string, visit func(*schema.Record)) {
	start, _ := slices.BinarySearch(s.sortedKeys, prefix)
	for _, key := range slices.Clone(s.sortedKeys[start:]) {
		if !strings.HasPrefix(key, prefix) {
			return
		}
		visit(s.records[key])
	}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// supersedes reports whether record a wins over b; b may be nil.
func supersedes(a, b *schema.Record) bool {
	if b == nil || a.Timestamp != b.Timestamp {
		return b == nil || a.Timestamp > b.Timestamp
	}
	return bytes.Compare(a.Data, b.Data) > 0
}

// Merge adds records to the replica and returns the records that replaced an older
// version or are new.
func (s *Store) Merge(now int64, records ...*schema.Record) []*schema.Record {
	var updated []*schema.Record
	for _, record := range records {
		if !supersedes(record, s.records[record.Key]) {
			continue
		}
		if i, ok := slices.BinarySearch(s.sortedKeys, record.Key); !ok {
			s.sortedKeys = slices.Insert(s.sortedKeys, i, record.Key)
		}
		s.records[record.Key], s.updatedAt[record.Key] = record, now
		updated = append(updated, record)
	}
	return updated
}

// Forget removes a record from this replica only. If another replica still has the
// record, the next comparison restores it.
func (s *Store) Forget(key string) {
	delete(s.records, key)
	delete(s.updatedAt, key)
	if i, ok := slices.BinarySearch(s.sortedKeys, key); ok {
		s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	}
}
