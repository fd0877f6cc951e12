package voterlog

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"
)

// Files is what a log needs of a disk. The operating system's is the one in
// use; tests put a disk that loses power, hangs or refuses writes in its place.
type Files interface {
	// Names are the files of a folder; a folder that is not there has none.
	Names(folder string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create makes an empty file, or empties one.
	Create(path string) (File, error)
	// Append opens a file to write behind its end.
	Append(path string) (File, error)
	// Cut takes off what lies behind a length.
	Cut(path string, length int64) error
	Rename(from, to string) error
	Remove(path string) error
	MakeFolder(path string) error
	// SyncFolder makes names last that were made, renamed or removed.
	SyncFolder(path string) error
}

// File is an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

type osFiles struct{}

func (osFiles) Names(folder string) ([]string, error) {
	es, err := os.ReadDir(folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	ns := make([]string, 0, len(es))
	for _, e := range es {
		ns = append(ns, e.Name())
	}
	return ns, err
}

func (osFiles) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) Create(path string) (File, error) { return asFile(os.Create(path)) }

func (osFiles) Append(path string) (File, error) {
	return asFile(os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o644))
}

func asFile(f *os.File, err error) (File, error) {
	if err != nil {
		return nil, err // not a File that holds a nil pointer
	}
	return f, nil
}

func (osFiles) Cut(path string, length int64) error { return os.Truncate(path, length) }

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }

func (osFiles) MakeFolder(path string) error { return os.MkdirAll(path, 0o755) }

func (osFiles) SyncFolder(path string) error {
	f, err := os.Open(filepath.Clean(path))
	if err != nil {
		return err
	}
	return errs.Combine(f.Sync(), f.Close())
}
