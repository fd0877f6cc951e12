// Package behaviourhash computes a hash of the observable behaviour of a simulated fleet:
// the envelopes sent, the calls to databases and to the platform, and the answers to
// callers. Every value is added separately and in a fixed order, so that renaming a type
// or a field does not change the hash. Texts meant only for people are left out.
package behaviourhash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"google.golang.org/protobuf/proto"
)

// Recorder hashes the records of one run. A nil Recorder is valid and does nothing, so
// that a simulation need not check whether it records. It is not safe for concurrent use.
type Recorder struct {
	hash hash.Hash
	row  Row
}

// New returns a Recorder without records.
func New() *Recorder { return &Recorder{hash: sha256.New()} }

// Each value is preceded by its kind, so that the same bytes divided into values
// differently give different hashes.
const (
	recordBegin byte = iota + 1
	integer
	unsigned
	boolean
	text
)

// Row is the recorded behaviour of one seed.
type Row struct {
	Seed      uint64 `json:"seed"`
	Controls  int    `json:"controls"` // number of control processes
	Hash      string `json:"hash"`
	Envelopes int    `json:"envelopes"`
	Calls     int    `json:"calls"`
	Answers   int    `json:"answers"`
}

// Row returns the hash and the counts of the records so far.
func (r *Recorder) Row(seed uint64, controls int) Row {
	row := r.row
	row.Seed, row.Controls, row.Hash = seed, controls, hex.EncodeToString(r.hash.Sum(nil))
	return row
}

// Envelope records an envelope that a process sends at a virtual time in
// microseconds.
func (r *Recorder) Envelope(atUs int64, sender, receiver string, envelope proto.Message) {
	if r == nil {
		return
	}
	r.row.Envelopes++
	r.begin(atUs, "envelope").Text(sender).Text(receiver).Bytes(encode(envelope))
}

// Call begins the record of a call to a database or to the platform. The name must not be
// derived from a Go identifier, since a renaming would change the hash.
func (r *Recorder) Call(atUs int64, name, caller string) *Recorder {
	if r == nil {
		return nil
	}
	r.row.Calls++
	return r.begin(atUs, name).Text(caller)
}

// Answer begins the record of an answer that a process sends to a caller, to an operator
// or to a database that announced itself.
func (r *Recorder) Answer(atUs int64, name, process string) *Recorder {
	if r == nil {
		return nil
	}
	r.row.Answers++
	return r.begin(atUs, name).Text(process)
}

func (r *Recorder) begin(atUs int64, name string) *Recorder {
	r.writeNumber(recordBegin, uint64(atUs))
	return r.Text(name)
}

func (r *Recorder) writeNumber(kind byte, v uint64) {
	r.hash.Write(binary.BigEndian.AppendUint64([]byte{kind}, v))
}

// Int adds a signed integer. Times are added in microseconds.
func (r *Recorder) Int(v int64) *Recorder {
	if r != nil {
		r.writeNumber(integer, uint64(v))
	}
	return r
}

// Uint adds an unsigned integer.
func (r *Recorder) Uint(v uint64) *Recorder {
	if r != nil {
		r.writeNumber(unsigned, v)
	}
	return r
}

// Bool adds a boolean.
func (r *Recorder) Bool(v bool) *Recorder {
	if r == nil {
		return nil
	}
	n := uint64(0)
	if v {
		n = 1
	}
	r.writeNumber(boolean, n)
	return r
}

// Text adds a string.
func (r *Recorder) Text(v string) *Recorder { return r.Bytes([]byte(v)) }

// Texts adds a list of strings.
func (r *Recorder) Texts(vs []string) *Recorder {
	r.Int(int64(len(vs)))
	for _, v := range vs {
		r.Text(v)
	}
	return r
}

// Bytes adds a byte string.
func (r *Recorder) Bytes(v []byte) *Recorder {
	if r != nil {
		r.writeNumber(text, uint64(len(v)))
		r.hash.Write(v)
	}
	return r
}
