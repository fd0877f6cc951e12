package learner

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"stoneford/internal/ports"
	"stoneford/schema"
)

// DatabasePrefix is the prefix of the keys of database records. The database's ID
// follows it.
const DatabasePrefix = "database/"

// FinalAnnouncementNumber is the announcement number of a database that deregistered. It is
// above every number that a database uses: an announcement that was sent before the
// deregistration, and arrives or is forwarded after it, does not bring the database back.
const FinalAnnouncementNumber = 1 << 62

// databaseTable holds the records of the announced databases.
type databaseTable struct {
	records map[string]*schema.Record // by key
	changed bool                      // a record changed since the last takeChanged
}

func newDatabaseTable() databaseTable {
	return databaseTable{records: map[string]*schema.Record{}}
}

// merge stores a record if it is newer than the known one. A record that differs only
// in its timestamp does not count as a change.
func (t *databaseTable) merge(record *schema.Record) {
	known := t.records[record.Key]
	if known != nil && known.Timestamp >= record.Timestamp {
		return
	}
	t.records[record.Key] = record
	if known == nil || !slices.Equal(known.Data, record.Data) {
		t.changed = true
	}
}

// takeChanged reports whether a database changed since the last call, and resets that.
func (t *databaseTable) takeChanged() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// Instances returns the announced databases that are not gone, sorted by ID.
func (l *Learner) Instances() []ports.Instance {
	var instances []ports.Instance
	for _, record := range l.databases.records {
		if instance := DecodeInstance(record); !instance.Gone {
			instances = append(instances, instance)
		}
	}
	slices.SortFunc(instances, func(a, b ports.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// Gone reports whether a database's record marks it as gone.
func (l *Learner) Gone(id string) bool {
	record := l.databases.records[DatabasePrefix+id]
	return record != nil && DecodeInstance(record).Gone
}

// DecodeInstance decodes a database's record. A record that cannot be decoded yields an
// instance that is gone.
func DecodeInstance(record *schema.Record) ports.Instance {
	id := strings.TrimPrefix(record.Key, DatabasePrefix)
	decoded := &schema.DatabaseRecord{}
	if proto.Unmarshal(record.Data, decoded) != nil {
		return ports.Instance{ID: id, Gone: true}
	}
	return ports.Instance{
		ID:                 id,
		Group:              decoded.Group,
		Address:            decoded.Address,
		Zone:               decoded.Zone,
		Capacity:           int(decoded.Capacity),
		Draining:           decoded.Draining,
		Primary:            decoded.Primary,
		WarmupUs:           decoded.WarmupUs,
		AnnouncementNumber: record.Timestamp / 2,
		Gone:               decoded.Gone,
	}
}

// EncodeInstance encodes a database's record. The timestamp is twice the number of the
// announcement, plus one for a database that is gone, so that this record is newer than
// the one of its last announcement. A database that was declared gone because it missed
// announcements comes back with its next one, while one that deregistered does not.
func EncodeInstance(instance ports.Instance) *schema.Record {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&schema.DatabaseRecord{
		Group:    instance.Group,
		Address:  instance.Address,
		Zone:     instance.Zone,
		Capacity: int32(instance.Capacity),
		Draining: instance.Draining,
		Primary:  instance.Primary,
		WarmupUs: instance.WarmupUs,
		Gone:     instance.Gone,
	})
	if err != nil {
		panic(err) // every field of the message can be encoded
	}
	timestamp := instance.AnnouncementNumber * 2
	if instance.Gone {
		timestamp++
	}
	return &schema.Record{Key: DatabasePrefix + instance.ID, Timestamp: timestamp, Data: data}
}
