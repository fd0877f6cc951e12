// Package wal implements a voter's write-ahead log on disk (design 2.4).
//
// # Format
//
// A log consists of one file, named "log-" and a number, which contains a header with
// the format number, followed by frames. Each call of Log.Write appends one frame and
// syncs it before it returns, so that a loss of power can tear only the last frame of a
// file; an invalid frame that is followed by a valid one is corruption. A snapshot starts
// the next file. That file is written under a temporary name and renamed once it is
// synced; the previous file is removed once the rename is durable. Every file but the
// first therefore begins with a complete snapshot; a file that does not is corrupt.
//
// # Compaction
//
// A snapshot is due once the file is several times as large as its last snapshot. The
// log's size, and with it the duration of a restart, is bounded by the size of the state
// and does not depend on its history (design 19).
//
// # Contract
//
// Open replays the log on disk, including all entries of successful Writes. After a
// failed Write it is unknown which of its entries are on disk, so the Log then accepts
// only a snapshot, which replaces all entries. A Log is not safe for concurrent use, and
// its directory must be used by one process only.
package wal
