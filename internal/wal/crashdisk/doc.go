// Package crashdisk implements an in-memory wal.FileSystem for tests of durability. After
// a loss of power it guarantees what fsync guarantees, and nothing more: a file keeps the
// content of its last sync, while each later write may be kept, lost or torn. A name that
// was created, renamed or removed since the last sync of its directory may revert to any
// of its states since that sync, independently of other names.
//
// A Disk is not safe for concurrent use. All random decisions are drawn from the random
// source given to New, so that a run can be repeated with the same seed.
package crashdisk
