package settings

import (
	"regexp"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// quotedMicroseconds matches a field in microseconds. These are 64-bit integers, which
// protojson writes as strings.
var quotedMicroseconds = regexp.MustCompile(`("[a-z_]+_us": ?)"(\d+)"`)

// Write returns settings as JSON with the field names of the schema, from which Read reads
// the same settings again.
func Write(m proto.Message) ([]byte, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	return quotedMicroseconds.ReplaceAll(text, []byte(`$1$2`)), nil
}
