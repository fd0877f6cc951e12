package platform

import (
	"stoneford/internal/ports"
)

// appendReply appends the reply to a caller's statement.
func appendReply(data []byte, r ports.Reply) []byte {
	switch {
	case len(r.Body) > 0:
		data = append(data, r.Body...)
	case r.Code == ports.Done:
		data = append(data, verbComplete+" "+noValue+crlf...)
	default:
		data = appendError(data, r)
	}
	data = append(data, verbReady+" "...)
	data = append(data, stateBytes[r.State])
	return append(data, " "+noValue+crlf...)
}

// appendConnectReply appends the reply to CONNECT.
func appendConnectReply(data []byte, r ports.Reply) []byte {
	if r.Code != ports.Done {
		return appendError(data, r)
	}
	return append(data, verbReady+" I "+noValue+crlf...)
}

// appendError appends a code with its text, in which it replaces control characters by
// blanks.
func appendError(data []byte, r ports.Reply) []byte {
	data = append(append(data, verbError+" "...), wireCodeName(r.Code)...)
	data = append(data, ' ')
	if r.Text == "" {
		data = append(data, noValue...)
	}
	for i := range len(r.Text) {
		if c := r.Text[i]; c < ' ' {
			data = append(data, ' ')
		} else {
			data = append(data, c)
		}
	}
	return append(data, crlf...)
}
