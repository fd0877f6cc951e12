package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FileSystem contains the file operations that a log uses. Production code uses the
// operating system's file system; tests substitute a disk that loses power, is full or
// fails writes.
type FileSystem interface {
	// List returns the names in a directory, none if the directory does not exist.
	List(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file or truncates an existing one.
	Create(path string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (File, error)
	// Truncate shortens a file to a length.
	Truncate(path string, length int64) error
	// Rename renames a file and replaces any existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// MakeDir creates a directory and its missing parents.
	MakeDir(path string) error
	// SyncDir makes the creation, renaming and removal of files in a directory durable.
	SyncDir(path string) error
}

// File is an open file. Sync makes its content durable, but not its name.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// osFileSystem implements FileSystem with the operating system's file system.
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

// fileOrError returns a nil File on error, rather than a non-nil File that contains a
// nil *os.File.
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
