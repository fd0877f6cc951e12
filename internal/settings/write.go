package settings

import (
	"regexp"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// quotedMicroseconds matches a field with a number of 64 bits, which protojson
// writes as a text.
var quotedMicroseconds = regexp.MustCompile(`("[a-z_]+_us": ?)"(\d+)"`)

// Write returns the JSON text of settings, with the names of the schema. Read
// reads it back to the same settings.
func Write(m proto.Message) ([]byte, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	return quotedMicroseconds.ReplaceAll(text, []byte(`$1$2`)), nil
}
