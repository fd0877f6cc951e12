package wal

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// dirContent holds the content of a log's directory.
type dirContent struct {
	fileNumber   uint64 // number of the newest file, 0 if there is no log
	frames       uint64 // number of valid frames
	entries      []*schema.WALEntry
	length       int      // size of the file, in bytes
	validLength  int      // offset of the end of the last valid frame
	snapshotSize int      // offset of the end of the initial snapshot, 0 if there is none
	leftovers    []string // obsolete and incomplete files
}

// scanDir lists a directory and reads its newest log file.
func scanDir(files FileSystem, dir string) (dirContent, error) {
	var content dirContent
	names, err := files.List(dir)
	if err != nil {
		return content, err
	}
	newest := ""
	for _, name := range names {
		switch {
		case formatOneFileName.MatchString(name):
			return content, fmt.Errorf("%w: %s has format 1", ErrFormat, name)
		case unfinishedFileName.MatchString(name):
			content.leftovers = append(content.leftovers, name)
		case fileName.MatchString(name):
			content.leftovers = append(content.leftovers, name)
			newest = max(newest, name)
		}
	}
	if newest == "" {
		return content, nil
	}
	content.leftovers = slices.DeleteFunc(content.leftovers, func(name string) bool { return name == newest })
	if content.fileNumber, err = strconv.ParseUint(newest[len("log-"):], 10, 64); err != nil {
		return content, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	data, err := files.ReadFile(filepath.Join(dir, newest))
	if err != nil {
		return content, err
	}
	return content, content.parse(newest, data)
}

// parse reads the frames of a file. Data after the last consecutive valid frame is a torn
// tail, unless it contains another valid frame: then the file is corrupt.
func (c *dirContent) parse(file string, data []byte) error {
	c.length = len(data)
	if err := checkHeader(file, data); err != nil {
		return err
	}
	c.validLength = len(fileHeader())
	for c.validLength < len(data) {
		body, ok := parseFrame(data[c.validLength:], c.frames+1)
		if !ok {
			break
		}
		if err := c.addFrame(file, body); err != nil {
			return err
		}
	}
	if c.fileNumber > 1 && c.snapshotSize == 0 {
		return fmt.Errorf("%w: %s does not begin with a complete snapshot", ErrCorrupt, file)
	}
	if hasFrameAfter(data, c.validLength+1, c.frames) {
		return fmt.Errorf("%w: %s has an invalid frame at byte %d that is followed by a valid frame", ErrCorrupt, file, c.validLength)
	}
	return nil
}

// addFrame adds the entries of the next valid frame.
func (c *dirContent) addFrame(file string, body []byte) error {
	batch := &schema.WALBatch{}
	if err := proto.Unmarshal(body, batch); err != nil {
		return fmt.Errorf("%w: %s: frame %d: %v", ErrCorrupt, file, c.frames+1, err)
	}
	end := c.validLength + frameHeaderLength + len(body)
	if c.frames == 0 && len(batch.Entries) > 0 && batch.Entries[0].Snapshot {
		c.snapshotSize = end
	}
	c.entries = append(c.entries, batch.Entries...)
	c.frames++
	c.validLength = end
	return nil
}

// maxFrameGap limits how far the number of a frame after an invalid one may be ahead. It
// avoids computing checksums at most positions at which no frame begins.
const maxFrameGap = 1 << 32

// hasFrameAfter reports whether a valid frame with a number above lastFrame begins at or
// after start.
func hasFrameAfter(data []byte, start int, lastFrame uint64) bool {
	for i := start; i+frameHeaderLength <= len(data); i++ {
		number := binary.LittleEndian.Uint64(data[i+frameNumberOffset:])
		if number <= lastFrame || number >= lastFrame+maxFrameGap {
			continue
		}
		if _, ok := parseFrame(data[i:], number); ok {
			return true
		}
	}
	return false
}
