package crdt

import (
	"bytes"
	"slices"
	"strings"

	"stoneford/schema"
)

// Store is one replica of the records.
type Store struct {
	self       string // address
	records    map[string]*schema.Record
	sortedKeys []string
	updatedAt  map[string]int64 // when the newest record came in, by this process's clock
}

// New returns an empty replica.
func New(self string) *Store {
	return &Store{self: self, records: map[string]*schema.Record{}, updatedAt: map[string]int64{}}
}

// Get returns the record of a key, nil if there is none.
func (s *Store) Get(key string) *schema.Record { return s.records[key] }

// AgeUs returns how many microseconds ago a record last became newer here.
func (s *Store) AgeUs(now int64, key string) int64 { return now - s.updatedAt[key] }

// ForEach calls visit for the records whose keys have a prefix, in order of the keys.
// visit may call Forget.
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

// Merge takes records in and returns those that are newer than what was here.
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

// Forget drops a record at this replica only; it comes back with the next comparison if
// another replica still has it.
func (s *Store) Forget(key string) {
	delete(s.records, key)
	delete(s.updatedAt, key)
	if i, ok := slices.BinarySearch(s.sortedKeys, key); ok {
		s.sortedKeys = slices.Delete(s.sortedKeys, i, i+1)
	}
}
