package crashdisk

// Mutation is a deliberate fault of the disk, which shows that a test detects it.
type Mutation int

// Possible mutations.
const (
	NoMutation           Mutation = iota
	SyncDoesNothing               // the sync of a file succeeds without effect
	SnapshotNotSynced             // the sync of a file with a temporary name succeeds without effect
	DirNotSynced                  // the sync of a directory succeeds without effect
	OldFilesRemovedEarly          // a rename durably removes all other files before it is durable itself
)

// Mutations lists all mutations with their names for test output.
var Mutations = []struct {
	Name     string
	Mutation Mutation
}{
	{"syncs do nothing", SyncDoesNothing},
	{"a snapshot is not synced before it is renamed", SnapshotNotSynced},
	{"the directory is not synced", DirNotSynced},
	{"the log is removed before the snapshot is durable", OldFilesRemovedEarly},
}
