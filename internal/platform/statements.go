package platform

import (
	"bufio"
	"strings"

	"stoneford/internal/ports"
)

// message is a message from a caller.
type message struct {
	verb      string
	host      string // of a CONNECT
	statement ports.Statement
}

// readMessage reads a caller's next message. A statement that cannot be parsed becomes a
// BadStatement. A message with an unknown verb has no statement.
func readMessage(reader *bufio.Reader) (message, error) {
	data, err := readLine(reader)
	if err != nil {
		return message{}, err
	}
	raw := string(data)
	line := raw[:len(raw)-len(crlf)]
	verb, rest := splitField(line)
	m := message{verb: verb}
	switch verb {
	case verbConnect:
		m.host, _ = splitField(rest)
	case verbQuery:
		m.statement = parseQuery(rest)
		if strings.ContainsAny(line, "\r\n\x00") {
			m.statement = malformed(m.statement.ID, "a control character stands in the message")
		}
		m.statement.Raw = []byte(raw)
	}
	return m, nil
}

// malformed returns a statement that could not be parsed, with the reason for the reply.
func malformed(id, text string) ports.Statement {
	return ports.Statement{ID: id, Kind: ports.BadStatement, Text: text}
}

// parseQuery parses the ID and the statement that follow QUERY.
func parseQuery(s string) ports.Statement {
	id, text := splitField(s)
	switch id {
	case "":
		return malformed("", "no id")
	case internalStatementID:
		return malformed(id, "not an id for callers")
	}
	statement := ParseStatement(text)
	statement.ID = id
	return statement
}

// ParseStatement parses a caller's statement. It returns a BadStatement if that fails.
func ParseStatement(text string) ports.Statement {
	verb, rest := splitField(text)
	if parse := parsers[verb]; parse != nil {
		if statement, ok := parse(rest); ok {
			return statement
		}
	}
	return malformed("", "not understood")
}

// parsers maps the keyword of a statement to the function that parses the text after it. The
// function returns false if the text is malformed.
var parsers = map[string]func(rest string) (ports.Statement, bool){
	keywordBegin:   parseBegin,
	keywordCommit:  func(rest string) (ports.Statement, bool) { return parseBare(ports.Commit, rest) },
	keywordAbort:   func(rest string) (ports.Statement, bool) { return parseBare(ports.Rollback, rest) },
	keywordPrepare: parsePrepare,
	keywordFetch: func(rest string) (ports.Statement, bool) {
		return ports.Statement{Kind: ports.Read, Text: rest}, rest != ""
	},
	keywordStore: func(rest string) (ports.Statement, bool) {
		return ports.Statement{Kind: ports.Write, Text: rest, Writes: true}, rest != ""
	},
	keywordSetVar: func(rest string) (ports.Statement, bool) {
		name, value := splitField(rest)
		return ports.Statement{Kind: ports.SetValue, Name: name, Text: value}, name != ""
	},
	keywordExecute: func(rest string) (ports.Statement, bool) {
		name, arguments := splitField(rest)
		return ports.Statement{Kind: ports.Execute, Name: name, Text: arguments}, name != "" && arguments != ""
	},
	keywordRelease: func(rest string) (ports.Statement, bool) {
		name, extra := splitField(rest)
		return ports.Statement{Kind: ports.Deallocate, Name: name}, name != "" && extra == ""
	},
}

// parseBegin parses the text after BEGIN, which FETCH makes a read-only transaction.
func parseBegin(rest string) (ports.Statement, bool) {
	switch rest {
	case "":
		return ports.Statement{Kind: ports.Begin}, true
	case keywordFetch:
		return ports.Statement{Kind: ports.BeginRead}, true
	}
	return ports.Statement{}, false
}

// parseBare parses a statement that consists of its keyword only.
func parseBare(kind ports.StatementKind, rest string) (ports.Statement, bool) {
	return ports.Statement{Kind: kind}, rest == ""
}

// parsePrepare parses the name, FETCH or STORE, and the text of a prepared statement.
func parsePrepare(rest string) (ports.Statement, bool) {
	name, definition := splitField(rest)
	verb, text := splitField(definition)
	ok := name != "" && text != "" && (verb == keywordFetch || verb == keywordStore)
	return ports.Statement{Kind: ports.Prepare, Name: name, Text: text, Writes: verb == keywordStore}, ok
}
