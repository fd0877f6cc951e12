// Package wal is a voter's write-ahead log on disk (design 2.4).
//
// # Format
//
// A log is one file, "log-" and its number, that begins with a header naming the format
// and continues with frames. One call of Log.Write appends one frame and syncs it before
// it returns, so that only the last frame of a file can be torn by a loss of power; a
// frame that cannot be read with a sound one behind it is corruption. A snapshot starts
// the next file, which gets its name once it is synced; the file before it is removed
// once that name is durable. So every file but the first begins with a complete
// snapshot, and one that does not is corrupt too.
//
// # Compaction
//
// A snapshot is due once the file is several times as long as its last snapshot. The
// log's size, and with it the time that a restart takes, is bounded by the size of the
// state and not by its history (design 19).
//
// # Contract
//
// Open replays what is on disk; nothing that a successful Write covered is missing.
// After a failed Write nothing is known of what the disk holds of its entries, so the
// Log takes only a snapshot from then on, which replaces everything. A Log is used by
// one goroutine at a time, and its directory by one process.
package wal
