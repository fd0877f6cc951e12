package wal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// maxReadAttempts bounds how often Copy reads the log anew because a snapshot replaced
// the file meanwhile.
const maxReadAttempts = 5

// Copy writes the log in a directory into another directory, which must hold none, and
// reads it back. A copy of a running voter's log is what that voter had on disk at some
// moment of the copying.
//
// A copy is for inspection, and for restoring a fleet of which every voter's log is
// restored from copies taken while all were stopped. A single voter must never go on
// from an older copy of its log, since it would vote against its later promises; it
// starts with an empty directory instead and joins anew (design 3.3).
func Copy(from, to string) error {
	files := osFileSystem{}
	existing, err := scanDir(files, to)
	if err != nil {
		return err
	}
	if existing.fileNumber > 0 || len(existing.leftovers) > 0 {
		return fmt.Errorf("%s holds a log already", to)
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
		return fmt.Errorf("%w: the copy in %s reads back otherwise than it was written", ErrCorrupt, to)
	}
	written, err := scanDir(files, to)
	if err == nil && len(written.entries) != len(source.entries) {
		err = fmt.Errorf("%w: the copy in %s holds %d entries, not %d", ErrCorrupt, to, len(written.entries), len(source.entries))
	}
	return err
}

// readSource reads the sound part of the log in a directory. A snapshot may replace the
// file between scanning the directory and reading the file, so it tries a few times.
func readSource(files FileSystem, dir string) (content dirContent, data []byte, err error) {
	for range maxReadAttempts {
		if content, err = scanDir(files, dir); err != nil {
			if !errors.Is(err, os.ErrNotExist) {
				return content, nil, err
			}
			continue
		}
		if content.fileNumber == 0 {
			return content, nil, fmt.Errorf("%s holds no log", dir)
		}
		if data, err = files.ReadFile(logPath(dir, content.fileNumber)); err == nil {
			return content, data[:content.validLength], nil
		}
	}
	return content, nil, err
}

// writeLogFile writes a log file of that path into a directory, durably.
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
