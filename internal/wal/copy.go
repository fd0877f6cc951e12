package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// maxReadAttempts limits how many times Copy tries to read the log while snapshots
// replace the file.
const maxReadAttempts = 5

// Copy copies the log in one directory to another, which must not contain a log, and
// reads the copy back to verify it. The copy of a running voter's log holds what that
// voter had on disk at some moment during the copying.
//
// Use a copy for inspection, or to restore a fleet in which every voter's log is restored
// from copies taken while all voters were stopped. Never restart a single voter from an
// older copy of its log, since it would vote against its later promises; start it with
// an empty directory instead, so that it joins as a new voter (design 3.3).
func Copy(from, to string) error {
	files := osFileSystem{}
	existing, err := scanDir(files, to)
	if err != nil {
		return err
	}
	if existing.fileNumber > 0 || len(existing.leftovers) > 0 {
		return fmt.Errorf("%s already contains a log", to)
	}
	source, data, err := readSource(files, from)
	if err != nil {
		return err
	}
	path := logPath(to, source.fileNumber)
	if err := writeLogFile(files, to, path, data); err != nil {
		return err
	}
	readBack, err := files.ReadFile(path)
	if err != nil {
		return err
	}
	if !bytes.Equal(readBack, data) {
		return fmt.Errorf("%w: the copy in %s differs from the data written to it", ErrCorrupt, to)
	}
	written, err := scanDir(files, to)
	if err == nil && len(written.entries) != len(source.entries) {
		err = fmt.Errorf("%w: the copy in %s contains %d entries, want %d", ErrCorrupt, to, len(written.entries), len(source.entries))
	}
	return err
}

// readSource reads the valid part of the log in a directory. It retries, since a snapshot
// may replace the file between scanning the directory and reading the file.
func readSource(files FileSystem, dir string) (content dirContent, data []byte, err error) {
	for range maxReadAttempts {
		if content, err = scanDir(files, dir); err != nil {
			if !errors.Is(err, os.ErrNotExist) {
				return content, nil, err
			}
			continue
		}
		if content.fileNumber == 0 {
			return content, nil, fmt.Errorf("%s contains no log", dir)
		}
		if data, err = files.ReadFile(logPath(dir, content.fileNumber)); err == nil {
			return content, data[:content.validLength], nil
		}
	}
	return content, nil, err
}

// writeLogFile durably writes data to a log file at path, which lies in dir.
func writeLogFile(files FileSystem, dir, path string, data []byte) error {
	if err := files.MakeDir(dir); err != nil {
		return err
	}
	unfinished := path + unfinishedSuffix
	file, err := files.Create(unfinished)
	if err != nil {
		return err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := files.Rename(unfinished, path); err != nil {
		return err
	}
	return errors.Join(files.SyncDir(dir), files.SyncDir(filepath.Dir(filepath.Clean(dir))))
}
