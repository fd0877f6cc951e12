package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"stoneford/internal/ports"
)

// The words of the wire.
const (
	verbConnect  = "CONNECT"
	verbQuery    = "QUERY"
	verbClose    = "CLOSE"
	verbReady    = "READY"
	verbRow      = "ROW"
	verbComplete = "COMPLETE"
	verbError    = "STMTERR"

	textBegin    = "BEGIN"
	textCommit   = "COMMIT"
	textAbort    = "ABORT"
	textFetch    = "FETCH"
	textStore    = "STORE"
	textSetVar   = "SETVAR"
	textPrepare  = "PREPARE"
	textExecute  = "EXECUTE"
	textRelease  = "RELEASE"
	textReset    = "RESET"
	textStatus   = "STATUS"
	textPause    = "PAUSE"
	textResume   = "RESUME"
	textStepDown = "STEPDOWN"
	textAfter    = "AFTERPOS"

	nodeStatementID = "-"
	noValue         = "-"
	crlf            = "\r\n"

	maxMessageBytes = 1 << 20 // with its end
	maxAnswerBytes  = 8 << 20
)

var (
	// ErrMessageTooLong is a message over the wire's limit.
	ErrMessageTooLong = errors.New("a message is too long")
	errNotAnAnswer    = errors.New("not an answer")
)

var codeNames = map[ports.Code]string{
	ports.Busy: "BUSY", ports.RolledBack: "ROLLEDBACK", ports.Lagging: "LAGGING", ports.ReadOnly: "READONLY",
	ports.WrongInstance: "WRONGNODE", ports.TooManyConnections: "OVERLOAD", ports.Failed: "FAILED", ports.UnknownPreparedStatement: "NOSTMT",
	ports.Timeout: "TIMEOUT", ports.InDoubt: "INDOUBT", ports.Malformed: "MALFORMED", ports.DatabaseUnavailable: "NODB",
	ports.TooLarge: "TOOLARGE", ports.Denied: "DENIED",
}

var codesByName = func() map[string]ports.Code {
	m := map[string]ports.Code{}
	for c, w := range codeNames {
		m[w] = c
	}
	return m
}()

// nameOfCode is a code on the wire. What has no word promises nothing.
func nameOfCode(c ports.Code) string {
	if w, ok := codeNames[c]; ok {
		return w
	}
	return codeNames[ports.InDoubt]
}

func codeNamed(verb string) ports.Code {
	if c, ok := codesByName[verb]; ok {
		return c
	}
	return ports.UnknownCode
}

// readLine reads one message with its CR LF; it is the reader's own until the
// next call, unless it is longer than the reader's buffer. A bare LF does not
// end a message.
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

// splitField splits off the first field; blanks before it and after it are gone from
// both parts.
func splitField(s string) (field, rest string) {
	s = strings.TrimLeft(s, " ")
	f, r, _ := strings.Cut(s, " ")
	return f, strings.TrimLeft(r, " ")
}

// isField says that a text, such as a name that came from elsewhere, can stand
// as a field of a message and is nothing more.
func isField(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// message is what a caller sends.
type message struct {
	verb      string
	host      string // of a CONNECT
	statement ports.Statement
}

// readMessage reads a caller's next message. One that cannot be understood is a
// statement of Kind Bad, or a word that is none of the wire's.
func readMessage(reader *bufio.Reader) (message, error) {
	data, err := readLine(reader)
	if err != nil {
		return message{}, err
	}
	raw := string(data)
	line := raw[:len(raw)-len(crlf)]
	verb, rest := splitField(line)
	message := message{verb: verb}
	switch verb {
	case verbConnect:
		message.host, _ = splitField(rest)
	case verbQuery:
		message.statement = parseQuery(rest)
		if strings.ContainsAny(line, "\r\n\x00") {
			message.statement = malformed(message.statement.ID, "a control character stands in the message")
		}
		message.statement.Raw = []byte(raw)
	}
	return message, nil
}

func malformed(id, text string) ports.Statement {
	return ports.Statement{ID: id, Kind: ports.BadStatement, Text: text}
}

func parseQuery(s string) ports.Statement {
	id, text := splitField(s)
	switch id {
	case "":
		return malformed("", "no id")
	case nodeStatementID:
		return malformed(id, "not an id for callers")
	}
	statement := ParseStatement(text)
	statement.ID = id
	return statement
}

// ParseStatement reads a caller's text.
func ParseStatement(text string) ports.Statement {
	verb, rest := splitField(text)
	switch verb {
	case textBegin:
		switch rest {
		case "":
			return ports.Statement{Kind: ports.Begin}
		case textFetch:
			return ports.Statement{Kind: ports.BeginRead}
		}
	case textCommit:
		if rest == "" {
			return ports.Statement{Kind: ports.Commit}
		}
	case textAbort:
		if rest == "" {
			return ports.Statement{Kind: ports.Rollback}
		}
	case textFetch:
		if rest != "" {
			return ports.Statement{Kind: ports.Read, Text: rest}
		}
	case textStore:
		if rest != "" {
			return ports.Statement{Kind: ports.Write, Text: rest, Writes: true}
		}
	case textSetVar:
		if n, v := splitField(rest); n != "" {
			return ports.Statement{Kind: ports.SetValue, Name: n, Text: v}
		}
	case textPrepare:
		n, r := splitField(rest)
		k, shape := splitField(r)
		if n != "" && shape != "" && (k == textFetch || k == textStore) {
			return ports.Statement{Kind: ports.Prepare, Name: n, Text: shape, Writes: k == textStore}
		}
	case textExecute:
		if n, r := splitField(rest); n != "" && r != "" {
			return ports.Statement{Kind: ports.Execute, Name: n, Text: r}
		}
	case textRelease:
		if n, r := splitField(rest); n != "" && r == "" {
			return ports.Statement{Kind: ports.Deallocate, Name: n}
		}
	}
	return malformed("", "not understood")
}

func appendPosition(data []byte, p ports.Position) []byte {
	data = strconv.AppendUint(data, p.Term, 10)
	data = append(data, '.')
	return strconv.AppendInt(data, p.Number, 10)
}

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

// appendOp appends one op. A caller's goes as it came, but for the position it
// needs and a prepared name.
func appendOp(data []byte, o ports.Op) ([]byte, error) {
	if !o.Internal {
		return appendForwarded(data, o)
	}
	data = append(data, verbQuery+" "+nodeStatementID+" "...)
	name := o.Statement.Name
	if o.Name != "" {
		name = o.Name
	}
	switch o.Statement.Kind {
	case ports.SetValue:
		data = append(append(append(append(data, textSetVar+" "...), name...), ' '), o.Statement.Text...)
	case ports.Prepare:
		data = append(append(append(data, textPrepare+" "...), name...), ' ')
		if o.Statement.Writes {
			data = append(data, textStore+" "...)
		} else {
			data = append(data, textFetch+" "...)
		}
		data = append(data, o.Statement.Text...)
	case ports.Deallocate:
		data = append(append(data, textRelease+" "...), name...)
	case ports.Rollback:
		data = append(data, textAbort...)
	case ports.Reset:
		data = append(data, textReset...)
	case ports.Status:
		data = append(data, textStatus...)
	case ports.FreezeReplication:
		data = strconv.AppendUint(append(data, textPause+" "...), o.Term, 10)
	case ports.ResumeReplication:
		data = append(data, textResume...)
	case ports.StepDown:
		data = strconv.AppendUint(append(data, textStepDown+" "...), o.Term, 10)
	default:
		return data, fmt.Errorf("an own statement of kind %d cannot be sent", o.Statement.Kind)
	}
	return append(data, crlf...), nil
}

func appendForwarded(data []byte, o ports.Op) ([]byte, error) {
	raw := o.Statement.Raw
	if len(raw) == 0 || o.Statement.Kind == ports.BadStatement {
		return data, errors.New("a statement without a message cannot be sent")
	}
	if !o.After.Known() && o.Name == "" {
		return append(data, raw...), nil
	}
	// Past QUERY and the id.
	at := skipField(raw, skipField(raw, 0))
	data = append(data, raw[:at]...)
	if o.After.Known() {
		data = append(appendPosition(append(data, textAfter+" "...), o.After), ' ')
	}
	if o.Name != "" {
		from := skipField(raw, at)
		to := from
		for to < len(raw) && raw[to] != ' ' && raw[to] != '\r' {
			to++
		}
		data = append(append(data, raw[at:from]...), o.Name...)
		at = to
	}
	return append(data, raw[at:]...), nil
}

// skipField is where the field after the one at i starts.
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

// appendReply appends the end of a caller's statement.
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
	data = append(data, stateLetters[r.State])
	return append(data, " "+noValue+crlf...)
}

// appendOpened appends the end of the opening of a session.
func appendOpened(data []byte, r ports.Reply) []byte {
	if r.Code != ports.Done {
		return appendError(data, r)
	}
	return append(data, verbReady+" I "+noValue+crlf...)
}

func appendError(data []byte, r ports.Reply) []byte {
	data = append(append(data, verbError+" "...), nameOfCode(r.Code)...)
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

var stateLetters = [...]byte{ports.Idle: 'I', ports.InTransaction: 'T', ports.TransactionFailed: 'E'}

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

// completeNoValue is the body of the commonest answer to a node's own statements.
var completeNoValue = []byte(verbComplete + " " + noValue + crlf)

// readAnswer reads a database's answer to one op.
func readAnswer(reader *bufio.Reader) (ports.Response, error) {
	var a ports.Response
	var rows bool
	for {
		data, err := readLine(reader)
		if err != nil {
			return a, err
		}
		if len(a.Body)+len(data) > maxAnswerBytes {
			return a, ErrMessageTooLong
		}
		verb, rest, _ := bytes.Cut(data[:len(data)-len(crlf)], []byte{' '})
		switch string(verb) {
		case verbRow:
			a.Body, rows = append(a.Body, data...), true
			continue
		case verbComplete:
			stamp := bytes.Trim(rest, " ")
			a.Stamped = len(stamp) > 0 && string(stamp) != noValue
			if !rows && bytes.Equal(data, completeNoValue) {
				a.Body = completeNoValue
			} else {
				a.Body = append(a.Body, data...)
			}
			if rows && !a.Stamped {
				a.Rows = rowsIn(a.Body)
			}
		case verbError:
			code, text := splitField(string(rest))
			a.Code, a.Text = codeNamed(code), text
			a.Body = append(a.Body, data...)
		default:
			return a, fmt.Errorf("%w: %.40q", errNotAnAnswer, data)
		}
		break
	}
	data, err := readLine(reader)
	if err != nil {
		return a, err
	}
	var ok bool
	a.State, a.Position, ok = parseReady(data)
	if !ok {
		return a, fmt.Errorf("%w: %.40q", errNotAnAnswer, data)
	}
	return a, nil
}

func rowsIn(body []byte) (rows []string) {
	for l := range strings.SplitSeq(string(body), crlf) {
		if w, r, _ := strings.Cut(l, " "); w == verbRow {
			rows = append(rows, r)
		}
	}
	return rows
}

func parseReady(line []byte) (ports.TransactionState, ports.Position, bool) {
	verb, rest := splitField(string(line[:len(line)-len(crlf)]))
	state, pos := splitField(rest)
	s, ok := parseState(state)
	p, pok := parsePosition(strings.TrimRight(pos, " "))
	return s, p, verb == verbReady && ok && pok
}

// readOpened reads a database's answer to CONNECT.
func readOpened(reader *bufio.Reader) (ports.Position, ports.Code, error) {
	data, err := readLine(reader)
	if err != nil {
		return ports.Position{}, ports.Done, err
	}
	if s, p, ok := parseReady(data); ok && s == ports.Idle {
		return p, ports.Done, nil
	}
	verb, rest := splitField(string(data[:len(data)-len(crlf)]))
	if verb != verbError {
		return ports.Position{}, ports.Done, fmt.Errorf("%w: %.40q", errNotAnAnswer, data)
	}
	c, text := splitField(rest)
	return ports.Position{}, codeNamed(c), fmt.Errorf("%s %s", c, text)
}

// parseStatus reads the row of a database's status.
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

const (
	roleLeader   = "leader"
	roleFollower = "follower"
)
