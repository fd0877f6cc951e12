package language

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"stoneford/maintenance"
)

// parser reads the tokens of a text from left to right.
type parser struct {
	tokens    []Token
	index     int       // index of the next token in tokens
	endColumn int       // column after the end of the text
	now       time.Time // current time in the time zone of the times in the text
}

// Parse parses a text. now is the current time; its location is the time zone in which
// Parse interprets the times in the text. The error is an *Error.
func Parse(text string, now time.Time) (Sentence, error) {
	tokens, end := tokenize(strings.TrimRight(strings.TrimRight(text, " \t\n?."), " "))
	p := &parser{tokens: tokens, endColumn: end, now: now}
	s, err := p.parseSentence()
	if err != nil {
		return s, err
	}
	if t := p.peek(); t.Text != "" {
		return s, errorAt(t.Column, fmt.Sprintf("nothing is expected here, found %q", t.Text))
	}
	return s, nil
}

// parseSentence parses a sentence. Its first token selects the verb.
func (p *parser) parseSentence() (Sentence, error) {
	first := p.next()
	switch strings.ToLower(first.Text) {
	case "":
		return Sentence{}, errorAt(1, "nothing was said; try help")
	case "book":
		return p.parseSchedule()
	case "confirm":
		return p.parseWindowCommand(VerbConfirm)
	case "cancel":
		return p.parseWindowCommand(VerbCancel)
	case "move":
		return p.parseMove()
	case "what":
		return p.parseListWindows()
	case "status":
		return Sentence{Verb: VerbStatus}, nil
	case "who":
		return p.parseApplied()
	case "why":
		return p.parseWhy()
	case "help":
		return Sentence{Verb: VerbHelp}, nil
	}
	return Sentence{}, errorAt(first.Column, fmt.Sprintf("%q begins no sentence; these do: book, confirm, cancel, move, what, why, status, who, help", first.Text))
}

// peek returns the next token without consuming it. After the last token it returns an
// empty token with the column after the end of the text.
func (p *parser) peek() Token {
	if p.index < len(p.tokens) {
		return p.tokens[p.index]
	}
	return Token{Column: p.endColumn}
}

// next consumes the next token and returns it.
func (p *parser) next() Token {
	t := p.peek()
	p.index++
	return t
}

// skip consumes the next token if it equals keyword, ignoring case, and reports whether
// it did.
func (p *parser) skip(keyword string) bool {
	if !strings.EqualFold(p.peek().Text, keyword) {
		return false
	}
	p.next()
	return true
}

// expect consumes the given keywords, ignoring case, and returns an error at the first
// token that differs.
func (p *parser) expect(keywords ...string) error {
	for _, keyword := range keywords {
		if t := p.next(); !strings.EqualFold(t.Text, keyword) {
			return errorAt(t.Column, fmt.Sprintf("expected %q, found %s", keyword, describeToken(t)))
		}
	}
	return nil
}

// describeToken quotes a token for an error message, or names the end of the text.
func describeToken(t Token) string {
	if t.Text == "" {
		return "the end"
	}
	return strconv.Quote(t.Text)
}

// parseSchedule parses "NAME for KIND [at | on] TIME", the part of a scheduling sentence
// after its verb.
func (p *parser) parseSchedule() (Sentence, error) {
	s := Sentence{Verb: VerbSchedule}
	for !strings.EqualFold(p.peek().Text, "for") {
		t := p.next()
		if t.Text == "" {
			return s, errorAt(t.Column, `expected "for" and what is to be done`)
		}
		s.TargetName = append(s.TargetName, t)
	}
	forToken := p.next()
	if len(s.TargetName) == 0 {
		return s, errorAt(forToken.Column, "expected what is to be moved")
	}
	var err error
	if s.Kind, err = p.parseKind(); err != nil {
		return s, err
	}
	if !p.skip("at") {
		p.skip("on")
	}
	s.At, err = p.parseTime()
	return s, err
}

// parseKind parses the kind of a maintenance window.
func (p *parser) parseKind() (string, error) {
	t := p.next()
	switch strings.ToLower(t.Text) {
	case "replacement", "replacing":
		return maintenance.Replacement, nil
	case "switch", "switching":
		return maintenance.Switch, nil
	case "stop", "stopping":
		return maintenance.Stop, nil
	}
	return "", errorAt(t.Column, "expected replacement, switch or stop, found "+describeToken(t))
}

// parseWindowCommand parses the window number that follows verb and returns the sentence
// of both.
func (p *parser) parseWindowCommand(verb string) (Sentence, error) {
	id, err := p.parseWindowID()
	return Sentence{Verb: verb, WindowID: id}, err
}

// parseWindowID parses "[booking] N" or "[booking] #N".
func (p *parser) parseWindowID() (uint64, error) {
	p.skip("booking")
	t := p.next()
	id, err := strconv.ParseUint(strings.TrimPrefix(t.Text, "#"), 10, 64)
	if err != nil {
		return 0, errorAt(t.Column, "expected a booking's number, found "+describeToken(t))
	}
	return id, nil
}

// parseMove parses "[booking] N to TIME", the part of a sentence after "move".
func (p *parser) parseMove() (Sentence, error) {
	s, err := p.parseWindowCommand(VerbMove)
	if err != nil {
		return s, err
	}
	if err := p.expect("to"); err != nil {
		return s, err
	}
	s.At, err = p.parseTime()
	return s, err
}

// parseListWindows parses "is booked [[on] DAY] [for SUBJECT]", the part of a sentence
// after "what".
func (p *parser) parseListWindows() (Sentence, error) {
	s := Sentence{Verb: VerbListWindows}
	if err := p.expect("is", "booked"); err != nil {
		return s, err
	}
	if t := p.peek(); t.Text != "" && !strings.EqualFold(t.Text, "for") {
		if p.skip("on") {
			t = p.peek()
		}
		p.next()
		day, ok := p.parseDay(t)
		if !ok {
			return s, errorAt(t.Column, "expected today, tomorrow, a date such as 2027-01-31 or for and whom, found "+describeToken(t))
		}
		s.From, s.Until = day, p.midnight(day, 1)
	}
	if p.skip("for") {
		if s.Subject = p.next(); s.Subject.Text == "" {
			return s, errorAt(s.Subject.Column, "expected a partner, group, database or machine behind for")
		}
	}
	return s, nil
}

// parseApplied parses "applied [what]", the part of a sentence after "who".
func (p *parser) parseApplied() (Sentence, error) {
	s := Sentence{Verb: VerbApplied}
	if err := p.expect("applied"); err != nil {
		return s, err
	}
	p.skip("what")
	return s, nil
}

// parseWhy parses "is read ID [on its copy]" or "are reads of GROUP [where they are]", the
// part of a sentence after "why".
func (p *parser) parseWhy() (Sentence, error) {
	s := Sentence{Verb: VerbWhy}
	t := p.next()
	switch strings.ToLower(t.Text) {
	case "is":
		if err := p.expect("read"); err != nil {
			return s, err
		}
		id := p.next()
		if s.ReadID = id.Text; s.ReadID == "" {
			return s, errorAt(id.Column, "expected the id that the read's caller gave")
		}
		return s, p.parseOptionalTail("on", "its", "copy")
	case "are":
		if err := p.expect("reads", "of"); err != nil {
			return s, err
		}
		if s.Group = p.next(); s.Group.Text == "" {
			return s, errorAt(s.Group.Column, "expected a group")
		}
		return s, p.parseOptionalTail("where", "they", "are")
	}
	return s, errorAt(t.Column, "expected is or are, found "+describeToken(t))
}

// parseOptionalTail parses the optional last words of a question: either none or all of
// keywords. It accepts "this" in place of "its".
func (p *parser) parseOptionalTail(keywords ...string) error {
	if p.peek().Text == "" {
		return nil
	}
	for _, keyword := range keywords {
		if keyword == "its" && p.skip("this") {
			continue
		}
		if err := p.expect(keyword); err != nil {
			return err
		}
	}
	return nil
}
