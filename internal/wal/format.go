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

// Format is the number of the log format that this package reads and writes.
const Format = 3

var (
	// ErrCorrupt reports that entries which were durable can no longer be read.
	ErrCorrupt = errors.New("the voter's log is damaged")
	// ErrFormat reports that the log has a format that this program cannot read.
	ErrFormat = errors.New("the voter's log has an unsupported format")
)

var (
	fileName           = regexp.MustCompile(`^log-\d{20}$`)
	unfinishedFileName = regexp.MustCompile(`^log-\d{20}\.new$`)
	formatOneFileName  = regexp.MustCompile(`^\d{20}$`)
)

// unfinishedSuffix is the suffix of a file that may not be completely written and synced.
const unfinishedSuffix = ".new"

// logPath returns the path of the log file with a number.
func logPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("log-%020d", number))
}

// magic is at the start of each file, followed by the format number in four bytes, little
// endian.
var magic = []byte("stoneford voter ")

func fileHeader() []byte { return binary.LittleEndian.AppendUint32(bytes.Clone(magic), Format) }

// checkHeader checks a file's header. The header of every file with a log's name must be
// valid, since it was synced before the file was given that name.
func checkHeader(file string, data []byte) error {
	header := fileHeader()
	switch {
	case len(data) < len(header) || !bytes.Equal(data[:len(magic)], magic):
		return fmt.Errorf("%w: %s has no valid file header", ErrCorrupt, file)
	case !bytes.Equal(data[:len(header)], header):
		return fmt.Errorf("%w: %s has format %d", ErrFormat, file, binary.LittleEndian.Uint32(data[len(magic):]))
	}
	return nil
}

// Layout of a frame's header, little endian: the body's length (4 bytes), a CRC-32C of
// the frame's number and body (4 bytes), and the frame's number (8 bytes).
const (
	frameHeaderLength   = 16
	frameChecksumOffset = 4
	frameNumberOffset   = 8
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that contains the entries to data.
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

// parseFrame returns the body of the frame at the start of data. It reports false if the
// frame is invalid or has another number.
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
