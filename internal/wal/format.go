package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"regexp"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// Format is the number of the format that is written.
const Format = 3

var (
	// ErrCorrupt says that something the log once held durably cannot be read any more.
	ErrCorrupt = errors.New("the voter's log is damaged")
	// ErrFormat says that a log is of a format that this program does not read.
	ErrFormat = errors.New("the voter's log is of another format")
)

var (
	fileName           = regexp.MustCompile(`^log-\d{20}$`)
	unfinishedFileName = regexp.MustCompile(`^log-\d{20}\.new$`)
	formatOneFileName  = regexp.MustCompile(`^\d{20}$`)
)

// unfinishedSuffix marks a file whose snapshot is not known to be synced.
const unfinishedSuffix = ".new"

// logPath returns the path of the file with a number.
func logPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("log-%020d", number))
}

// magic begins each file; the format's number follows in four bytes, little endian.
var magic = []byte("stoneford voter ")

func fileHeader() []byte { return binary.LittleEndian.AppendUint32(bytes.Clone(magic), Format) }

// checkHeader reads a file's header. It is sound in any file under a log's name, since
// it was synced before the file got that name.
func checkHeader(file string, data []byte) error {
	header := fileHeader()
	switch {
	case len(data) < len(header) || !bytes.Equal(data[:len(magic)], magic):
		return fmt.Errorf("%w: %s does not begin as a log does", ErrCorrupt, file)
	case !bytes.Equal(data[:len(header)], header):
		return fmt.Errorf("%w: %s is of format %d", ErrFormat, file, binary.LittleEndian.Uint32(data[len(magic):]))
	}
	return nil
}

// A frame's header: the length of the body in four bytes, a CRC-32C of the frame's
// number and body in four, the frame's number in eight; all little endian.
const (
	frameHeaderLength   = 16
	frameChecksumOffset = 4
	frameNumberOffset   = 8
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame of entries to data.
func appendFrame(data []byte, number uint64, entries []*schema.WALEntry) ([]byte, error) {
	start := len(data)
	data = append(data, make([]byte, frameHeaderLength)...)
	data, err := proto.MarshalOptions{}.MarshalAppend(data, &schema.WALBatch{Entries: entries})
	if err != nil {
		return nil, err
	}
	frame := data[start:]
	binary.LittleEndian.PutUint32(frame, uint32(len(frame)-frameHeaderLength))
	binary.LittleEndian.PutUint64(frame[frameNumberOffset:], number)
	binary.LittleEndian.PutUint32(frame[frameChecksumOffset:], crc32.Checksum(frame[frameNumberOffset:], checksumTable))
	return data, nil
}

// parseFrame returns the body of the frame that data begins with, if that frame is
// sound and has the number.
func parseFrame(data []byte, number uint64) ([]byte, bool) {
	if len(data) < frameHeaderLength || binary.LittleEndian.Uint64(data[frameNumberOffset:]) != number {
		return nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	if length > uint64(len(data)-frameHeaderLength) {
		return nil, false
	}
	end := frameHeaderLength + length
	if crc32.Checksum(data[frameNumberOffset:end], checksumTable) != binary.LittleEndian.Uint32(data[frameChecksumOffset:]) {
		return nil, false
	}
	return data[frameHeaderLength:end], true
}
