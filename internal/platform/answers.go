package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"stoneford/internal/ports"
)

// completeNoValue is the most frequent body of answers to internal operations. All such
// answers share it.
var completeNoValue = []byte(verbComplete + " " + noValue + crlf)

// readAnswer reads a database's answer to one operation.
func readAnswer(reader *bufio.Reader) (ports.Response, error) {
	answer, err := readResult(reader)
	if err != nil {
		return answer, err
	}
	data, err := readLine(reader)
	if err != nil {
		return answer, err
	}
	var ok bool
	answer.State, answer.Position, ok = parseReady(data)
	if !ok {
		return answer, fmt.Errorf("%w: %.40q", errInvalidAnswer, data)
	}
	return answer, nil
}

// readResult reads an answer without its final READY line: rows and a completion, or an
// error.
func readResult(reader *bufio.Reader) (answer ports.Response, err error) {
	hasRows := false
	for {
		data, err := readLine(reader)
		if err != nil {
			return answer, err
		}
		if len(answer.Body)+len(data) > maxAnswerBytes {
			return answer, ErrMessageTooLong
		}
		verb, rest, _ := bytes.Cut(data[:len(data)-len(crlf)], []byte{' '})
		switch string(verb) {
		case verbRow:
			answer.Body, hasRows = append(answer.Body, data...), true
		case verbComplete:
			appendComplete(&answer, data, rest, hasRows)
			return answer, nil
		case verbError:
			name, text := splitField(string(rest))
			answer.Code, answer.Text = parseCode(name), text
			answer.Body = append(answer.Body, data...)
			return answer, nil
		default:
			return answer, fmt.Errorf("%w: %.40q", errInvalidAnswer, data)
		}
	}
}

// appendComplete adds a completion to an answer. An answer without a stamp belongs to an
// internal operation, so its rows are parsed.
func appendComplete(answer *ports.Response, data, stamp []byte, hasRows bool) {
	stamp = bytes.Trim(stamp, " ")
	answer.Stamped = len(stamp) > 0 && string(stamp) != noValue
	if !hasRows && bytes.Equal(data, completeNoValue) {
		answer.Body = completeNoValue
	} else {
		answer.Body = append(answer.Body, data...)
	}
	if hasRows && !answer.Stamped {
		answer.Rows = parseRows(answer.Body)
	}
}

// parseRows returns the rows of a body.
func parseRows(body []byte) (rows []string) {
	for l := range strings.SplitSeq(string(body), crlf) {
		if w, r, _ := strings.Cut(l, " "); w == verbRow {
			rows = append(rows, r)
		}
	}
	return rows
}

// parseReady parses the READY line that ends an answer.
func parseReady(line []byte) (ports.TransactionState, ports.Position, bool) {
	verb, rest := splitField(string(line[:len(line)-len(crlf)]))
	state, pos := splitField(rest)
	s, ok := parseState(state)
	p, pok := parsePosition(strings.TrimRight(pos, " "))
	return s, p, verb == verbReady && ok && pok
}

// readConnectReply reads a database's reply to CONNECT.
func readConnectReply(reader *bufio.Reader) (ports.Position, ports.Code, error) {
	data, err := readLine(reader)
	if err != nil {
		return ports.Position{}, ports.Done, err
	}
	if s, p, ok := parseReady(data); ok && s == ports.Idle {
		return p, ports.Done, nil
	}
	verb, rest := splitField(string(data[:len(data)-len(crlf)]))
	if verb != verbError {
		return ports.Position{}, ports.Done, fmt.Errorf("%w: %.40q", errInvalidAnswer, data)
	}
	c, text := splitField(rest)
	return ports.Position{}, parseCode(c), fmt.Errorf("database rejected the connection: %s %s", c, text)
}

// The roles of databases in heartbeats and status rows.
const (
	roleLeader   = "leader"
	roleFollower = "follower"
)

// parseStatus parses the row with a database's status.
func parseStatus(row string) (ports.DatabaseStatus, bool) {
	f := strings.Fields(row)
	if len(f) < 7 || f[0] != roleLeader && f[0] != roleFollower {
		return ports.DatabaseStatus{}, false
	}
	status := ports.DatabaseStatus{Primary: f[0] == roleLeader}
	var errs [5]error
	var ok bool
	var lag float64
	status.Term, errs[0] = strconv.ParseUint(f[1], 10, 64)
	status.Received, ok = parsePosition(f[2])
	if f[3] != noValue {
		status.FrozenTerm, errs[1] = strconv.ParseUint(f[3], 10, 64)
	}
	if f[4] != noValue {
		lag, errs[2] = strconv.ParseFloat(f[4], 64)
	}
	status.LagUs = int64(lag * 1000)
	status.BusyConnections, errs[3] = strconv.Atoi(f[5])
	status.OpenTransactions, errs[4] = strconv.Atoi(f[6])
	return status, ok && errors.Join(errs[:]...) == nil
}
