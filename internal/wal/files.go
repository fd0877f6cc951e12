package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
)

// FileSystem is what a log needs of a disk. The operating system's is the one in
// use; tests put a disk that loses power, hangs or refuses writes in its place.
type FileSystem interface {
	// List are the files of a folder; a folder that is not there has none.
	List(dir string) ([]string, error)
	ReadFile(path string) ([]byte, error)
	// Create makes an empty file, or empties one.
	Create(path string) (File, error)
	// OpenAppend opens a file to write behind its end.
	OpenAppend(path string) (File, error)
	// Truncate takes off what lies behind a length.
	Truncate(path string, length int64) error
	Rename(from, to string) error
	Remove(path string) error
	MakeDir(path string) error
	// SyncDir makes names last that were made, renamed or removed.
	SyncDir(path string) error
}

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

type osFileSystem struct{}

func (osFileSystem) List(dir string) ([]string, error) {
	es, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	ns := make([]string, 0, len(es))
	for _, e := range es {
		ns = append(ns, e.Name())
	}
	return ns, err
}

func (osFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) Create(path string) (File, error) { return fileOrError(os.Create(path)) }

func (osFileSystem) OpenAppend(path string) (File, error) {
	return fileOrError(os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644))
}

func fileOrError(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err // not a File that holds a nil pointer
	}
	return f, nil
}

func (osFileSystem) Truncate(path string, length int64) error { return os.Truncate(path, length) }

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) Remove(path string) error { return os.Remove(path) }

func (osFileSystem) MakeDir(path string) error { return os.MkdirAll(path, 0o755) }

func (osFileSystem) SyncDir(path string) error {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errs.Combine(f.Sync(), f.Close())
}
