package crashdisk

// Mutation is a fault put into the disk on purpose, to show that a test detects it.
type Mutation int

// Mutations.
const (
	NoMutation           Mutation = iota
	SyncDoesNothing               // a sync of a file returns and syncs nothing
	SnapshotNotSynced             // as before, for files that are not renamed yet
	DirNotSynced                  // a sync of a directory returns and syncs nothing
	OldFilesRemovedEarly          // a rename removes the other files, durably, before it is durable itself
)

// Mutations lists all of them with a name for messages.
var Mutations = []struct {
	Name     string
	Mutation Mutation
}{
	{"syncs do nothing", SyncDoesNothing},
	{"a snapshot is not synced before it is renamed", SnapshotNotSynced},
	{"the folder is not synced", DirNotSynced},
	{"the log is removed before the snapshot lasts", OldFilesRemovedEarly},
}
