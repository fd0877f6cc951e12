package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FileSystem is what a log needs of a disk. Production code uses the operating system's;
// tests substitute a disk that loses power, is full or refuses writes.
type FileSystem interface {
	// List returns the names in a directory, none if the directory does not exist.
	List(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file, or empties an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(path string) (File, error)
	// Truncate removes what lies behind a length.
	Truncate(path string, length int64) error
	// Rename gives a file another name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// MakeDir makes a directory and its parents where they do not exist.
	MakeDir(path string) error
	// SyncDir makes durable which names were made, renamed or removed in a directory.
	SyncDir(path string) error
}

// File is an open file. Sync makes its content durable, not its name.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// osFileSystem is the operating system's file system.
type osFileSystem struct{}

// List implements FileSystem.
func (osFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// ReadFile implements FileSystem.
func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FileSystem.
func (osFileSystem) Create(path string) (File, error) { return fileOrError(os.Create(path)) }

// OpenAppend implements FileSystem.
func (osFileSystem) OpenAppend(path string) (File, error) {
	return fileOrError(os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644))
}

// fileOrError avoids a File that is not nil but holds a nil *os.File.
func fileOrError(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Truncate implements FileSystem.
func (osFileSystem) Truncate(path string, length int64) error { return os.Truncate(path, length) }

// Rename implements FileSystem.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (osFileSystem) Remove(path string) error { return os.Remove(path) }

// MakeDir implements FileSystem.
func (osFileSystem) MakeDir(path string) error { return os.MkdirAll(path, 0o755) }

// SyncDir implements FileSystem.
func (osFileSystem) SyncDir(path string) error {
	dir, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
