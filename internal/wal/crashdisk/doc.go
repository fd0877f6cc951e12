// Package crashdisk is a wal.FileSystem in memory for tests of what survives a loss of
// power. It has the semantics of fsync and no more: of a file, what its last sync covered
// is kept, and each write after it is kept, missing or torn; of a name that was made,
// renamed or removed since the last sync of its directory, each name by itself, the old
// state, the new one or any between may be kept.
//
// A Disk belongs to one goroutine. Everything that happens by chance is drawn from the
// random source given to New, so that a seed repeats a run.
package crashdisk
