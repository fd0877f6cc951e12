// Package behaviourhash folds what a simulated fleet does at its edge into one
// hash: envelopes sent, calls to databases and to the platform, and answers to
// callers. Every value is written by itself and in a fixed order, so that renaming
// a type or a field does not move the hash. Text that only people read is left out.
package behaviourhash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"google.golang.org/protobuf/proto"
)

// Recorder folds the records of one run. A nil Recorder is valid and does nothing,
// so that a simulation may call it always. It is not safe for concurrent use.
type Recorder struct {
	hash hash.Hash
	row  Row
}

// New makes a Recorder of a run without records.
func New() *Recorder { return &Recorder{hash: sha256.New()} }

// Each value is preceded by its kind, so that adjacent values cannot run into
// each other.
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
	Controls  int    `json:"controls"` // control processes
	Hash      string `json:"hash"`
	Envelopes int    `json:"envelopes"`
	Calls     int    `json:"calls"`
	Answers   int    `json:"answers"`
}

// Row gives the hash and the counts so far.
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

// Call begins the record of a call to a database or to the platform. The name is
// the record's own, never that of a Go type.
func (r *Recorder) Call(atUs int64, name, caller string) *Recorder {
	if r == nil {
		return nil
	}
	r.row.Calls++
	return r.begin(atUs, name).Text(caller)
}

// Answer begins the record of an answer that a process gives to a caller, an
// operator or an announcing database.
func (r *Recorder) Answer(atUs int64, name, process string) *Recorder {
	if r == nil {
		return nil
	}
	r.row.Answers++
	return r.begin(atUs, name).Text(process)
}

func (r *Recorder) begin(atUs int64, name string) *Recorder {
	r.number(recordBegin, uint64(atUs))
	return r.Text(name)
}

func (r *Recorder) number(kind byte, v uint64) {
	r.hash.Write(binary.BigEndian.AppendUint64([]byte{kind}, v))
}

// Int adds a signed integer; a time is in microseconds.
func (r *Recorder) Int(v int64) *Recorder {
	if r != nil {
		r.number(integer, uint64(v))
	}
	return r
}

// Uint adds an unsigned integer.
func (r *Recorder) Uint(v uint64) *Recorder {
	if r != nil {
		r.number(unsigned, v)
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
	r.number(boolean, n)
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
		r.number(text, uint64(len(v)))
		r.hash.Write(v)
	}
	return r
}
