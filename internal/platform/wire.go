package platform

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"stoneford/internal/ports"
)

// Names and limits of the wire protocol.
const (
	verbConnect  = "CONNECT"
	verbQuery    = "QUERY"
	verbClose    = "CLOSE"
	verbReady    = "READY"
	verbRow      = "ROW"
	verbComplete = "COMPLETE"
	verbError    = "STMTERR"

	keywordBegin         = "BEGIN"
	keywordCommit        = "COMMIT"
	keywordAbort         = "ABORT"
	keywordFetch         = "FETCH"
	keywordStore         = "STORE"
	keywordSetVar        = "SETVAR"
	keywordPrepare       = "PREPARE"
	keywordExecute       = "EXECUTE"
	keywordRelease       = "RELEASE"
	keywordReset         = "RESET"
	keywordStatus        = "STATUS"
	keywordFreeze        = "PAUSE"
	keywordUnfreeze      = "RESUME"
	keywordStepDown      = "STEPDOWN"
	keywordAfterPosition = "AFTERPOS"

	internalStatementID = "-"
	noValue             = "-"
	crlf                = "\r\n"

	maxMessageBytes = 1 << 20 // including CR LF
	maxAnswerBytes  = 8 << 20
)

var (
	// ErrMessageTooLong reports a message or an answer that exceeds its size limit.
	ErrMessageTooLong = errors.New("message exceeds the size limit")
	errInvalidAnswer  = errors.New("malformed answer")
)

// codeNames maps codes to their names on the wire.
var codeNames = map[ports.Code]string{
	ports.Busy: "BUSY", ports.RolledBack: "ROLLEDBACK", ports.Lagging: "LAGGING", ports.ReadOnly: "READONLY",
	ports.WrongInstance: "WRONGNODE", ports.TooManyConnections: "OVERLOAD", ports.Failed: "FAILED", ports.UnknownPreparedStatement: "NOSTMT",
	ports.Timeout: "TIMEOUT", ports.InDoubt: "INDOUBT", ports.Malformed: "MALFORMED", ports.DatabaseUnavailable: "NODB",
	ports.TooLarge: "TOOLARGE", ports.Denied: "DENIED",
}

// codesByName is the inverse of codeNames.
var codesByName = func() map[string]ports.Code {
	m := map[string]ports.Code{}
	for c, w := range codeNames {
		m[w] = c
	}
	return m
}()

// wireCodeName returns the name of a code on the wire. For a code without a name it returns
// that of InDoubt: the caller cannot know whether its statement took effect.
func wireCodeName(c ports.Code) string {
	if w, ok := codeNames[c]; ok {
		return w
	}
	return codeNames[ports.InDoubt]
}

// parseCode returns the code with a name on the wire, or UnknownCode if there is none.
func parseCode(verb string) ports.Code {
	if c, ok := codesByName[verb]; ok {
		return c
	}
	return ports.UnknownCode
}

// readLine reads one message including its CR LF. A bare LF does not end a message. The
// result may share the reader's buffer, and is valid only until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	data, err := reader.ReadSlice('\n')
	if err == nil && len(data) >= 2 && data[len(data)-2] == '\r' {
		if len(data) > maxMessageBytes {
			return nil, ErrMessageTooLong
		}
		return data, nil
	}
	message := bytes.Clone(data)
	for {
		switch {
		case len(message) > maxMessageBytes:
			return nil, ErrMessageTooLong
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			if err == io.EOF && len(message) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		case bytes.HasSuffix(message, []byte(crlf)):
			return message, nil
		}
		data, err = reader.ReadSlice('\n')
		message = append(message, data...)
	}
}

// splitField returns the first field and the rest, without the blanks before each of them.
func splitField(s string) (field, rest string) {
	s = strings.TrimLeft(s, " ")
	f, r, _ := strings.Cut(s, " ")
	return f, strings.TrimLeft(r, " ")
}

// isSingleField reports whether a text from outside, such as a database's name, can be sent
// as one field of a message: it is not empty and has no blank or control character.
func isSingleField(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// skipField returns the offset of the field after the one at offset i.
func skipField(data []byte, i int) int {
	for i < len(data) && data[i] == ' ' {
		i++
	}
	for i < len(data) && data[i] != ' ' && data[i] != '\r' {
		i++
	}
	for i < len(data) && data[i] == ' ' {
		i++
	}
	return i
}

// appendPosition appends a position in the form TERM.NUMBER.
func appendPosition(data []byte, p ports.Position) []byte {
	data = strconv.AppendUint(data, p.Term, 10)
	data = append(data, '.')
	return strconv.AppendInt(data, p.Number, 10)
}

// parsePosition parses a position of the form TERM.NUMBER, or "-" for an unknown one.
func parsePosition(s string) (ports.Position, bool) {
	if s == noValue {
		return ports.Position{}, true
	}
	t, n, ok := strings.Cut(s, ".")
	term, e1 := strconv.ParseUint(t, 10, 64)
	number, e2 := strconv.ParseInt(n, 10, 64)
	if !ok || e1 != nil || e2 != nil || number < 0 {
		return ports.Position{}, false
	}
	return ports.Position{Term: term, Number: number}, true
}

// stateBytes maps the transaction states of a session to their bytes on the wire.
var stateBytes = [...]byte{ports.Idle: 'I', ports.InTransaction: 'T', ports.TransactionFailed: 'E'}

// parseState parses the transaction state in a READY line.
func parseState(s string) (ports.TransactionState, bool) {
	switch s {
	case "I":
		return ports.Idle, true
	case "T":
		return ports.InTransaction, true
	case "E":
		return ports.TransactionFailed, true
	}
	return ports.Idle, false
}
