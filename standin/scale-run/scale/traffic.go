package scale

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"stoneford/schema"
)

// Flow is envelopes and their bytes, as marshalled and without framing.
type Flow struct{ Envelopes, Bytes int64 }

func (f *Flow) add(n int) { f.Envelopes++; f.Bytes += int64(n) }

// Minus is what came since an earlier count.
func (f Flow) Minus(o Flow) Flow { return Flow{f.Envelopes - o.Envelopes, f.Bytes - o.Bytes} }

// Traffic counts envelopes by kind.
type Traffic struct {
	mu      sync.Mutex
	In, Out map[string]Flow
}

// Kind names an envelope's part in the protocol; a return that brings something
// is news.
func Kind(e *schema.Envelope) string {
	switch b := e.Body.(type) {
	case *schema.Envelope_Look:
		return "look"
	case *schema.Envelope_LookReturn:
		if len(b.LookReturn.Cells)+len(b.LookReturn.Instances) > 0 {
			return "news"
		}
		return "look return"
	case *schema.Envelope_Announced, *schema.Envelope_AnnouncedReturn:
		return "announced"
	case *schema.Envelope_Records, *schema.Envelope_RangeDigests:
		return "repair"
	case *schema.Envelope_Prepare, *schema.Envelope_Promise, *schema.Envelope_Accept, *schema.Envelope_Accepted:
		return "ballots"
	case *schema.Envelope_Found, *schema.Envelope_JoinRequest, *schema.Envelope_StateRequest, *schema.Envelope_StateResponse, *schema.Envelope_MembershipNotice:
		return "membership"
	}
	return "other"
}

func count(m *map[string]Flow, e *schema.Envelope) {
	if *m == nil {
		*m = map[string]Flow{}
	}
	k := Kind(e)
	f := (*m)[k]
	f.add(proto.Size(e))
	(*m)[k] = f
}

// Came counts an envelope that came in.
func (t *Traffic) Came(e *schema.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count(&t.In, e)
}

// Left counts one that left.
func (t *Traffic) Left(e *schema.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count(&t.Out, e)
}

// Counts are the flows so far.
func (t *Traffic) Counts() (in, out map[string]Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in, out = map[string]Flow{}, map[string]Flow{}
	for k, f := range t.In {
		in[k] = f
	}
	for k, f := range t.Out {
		out[k] = f
	}
	return in, out
}

// Sum is all kinds together.
func Sum(m map[string]Flow) (s Flow) {
	for _, f := range m {
		s.Envelopes += f.Envelopes
		s.Bytes += f.Bytes
	}
	return s
}

// Since is what came since an earlier count, by kind.
func Since(now, then map[string]Flow) map[string]Flow {
	m := map[string]Flow{}
	for k, f := range now {
		m[k] = f.Minus(then[k])
	}
	return m
}
