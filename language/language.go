// Package language is the small language of questions and commands (design 11).
// The same text goes through the command line and over HTTP.
package language

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"stoneford/maintenance"
)

// Help is the whole grammar.
const Help = `book NAME for replacement | switch | stop at TIME
confirm booking N
cancel booking N
move booking N to TIME
what is booked [today | tomorrow | on DATE] [for WHOM]
why is read ID on its copy      ID: the query id its caller gave
why are reads of GROUP where they are
status
who applied what
help

NAME: a database or machine by its name, or in words: the Cluj replica,
      the Cluj replica of inventory-1, the primary of inventory-1
TIME: 02:00 (the next one), today 14:30, tomorrow 02:00, 2027-01-31 02:00
DATE: 2027-01-31
WHOM: a partner, group, database or machine
Times are read in the time zone of your partner's configuration.`

// Verbs.
const (
	VerbSchedule    = "book"
	VerbConfirm     = "confirm"
	VerbCancel      = "cancel"
	VerbMove        = "move"
	VerbListWindows = "booked"
	VerbStatus      = "status"
	VerbApplied     = "applied"
	VerbWhy         = "why"
	VerbHelp        = "help"
)

// Sentence is what was understood.
type Sentence struct {
	Verb     string
	Name     []Token
	Kind     string
	WindowID uint64
	At       time.Time
	From     time.Time // of a question about a day
	Until    time.Time
	Subject  Token  // whose bookings are asked for
	ReadID   string // the id of a read that is asked about
	Group    Token  // the group whose reads are asked about
}

// Token is one word and where it begins, from column 1.
type Token struct {
	Text   string
	Column int
}

// Error points at a column.
type Error struct {
	Column    int
	Text      string
	Ambiguous bool // a name fits several; the text names them
}

func errorAt(column int, text string) *Error { return &Error{Column: column, Text: text} }

func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Text) }

// Target is something a name can mean.
type Target struct {
	Name    string // of a database or machine
	Machine bool
	Partner string
	Group   string // PARTNER/GROUP
	Zone    string
	Primary bool
}

// String is how a place is told apart from others.
func (p Target) String() string {
	if p.Machine {
		return p.Name + " (machine in " + p.Zone + ")"
	}
	r := "replica"
	if p.Primary {
		r = "primary"
	}
	return fmt.Sprintf("%s (%s of %s in %s)", p.Name, r, p.Group, p.Zone)
}

type parser struct {
	tokens    []Token
	index     int
	endColumn int
	now       time.Time
}

func tokenize(s string) ([]Token, int) {
	var tokens []Token
	runes := []rune(s)
	for i := 0; i < len(runes); {
		if unicode.IsSpace(runes[i]) {
			i++
			continue
		}
		j := i
		for j < len(runes) && !unicode.IsSpace(runes[j]) {
			j++
		}
		tokens = append(tokens, Token{Text: string(runes[i:j]), Column: i + 1})
		i = j
	}
	return tokens, len(runes) + 1
}

// Parse reads a sentence; now is the time in the partner's zone.
func Parse(text string, now time.Time) (Sentence, error) {
	tokens, end := tokenize(strings.TrimRight(strings.TrimRight(text, " \t\n?."), " "))
	r := &parser{tokens: tokens, endColumn: end, now: now}
	w := r.next()
	var s Sentence
	var err error
	switch strings.ToLower(w.Text) {
	case "":
		return s, errorAt(1, "nothing was said; try help")
	case "book":
		s, err = r.parseSchedule()
	case "confirm", "cancel":
		s.Verb = strings.ToLower(w.Text)
		s.WindowID, err = r.parseWindowID()
	case "move":
		s.Verb = VerbMove
		if s.WindowID, err = r.parseWindowID(); err == nil {
			if err = r.expect("to"); err == nil {
				s.At, err = r.parseTime()
			}
		}
	case "what":
		s, err = r.parseListWindows()
	case "status":
		s.Verb = VerbStatus
	case "who":
		s.Verb = VerbApplied
		if err = r.expect("applied"); err == nil && strings.EqualFold(r.peek().Text, "what") {
			r.next()
		}
	case "why":
		s, err = r.parseWhy()
	case "help":
		s.Verb = VerbHelp
	default:
		return s, errorAt(w.Column, fmt.Sprintf("%q begins no sentence; these do: book, confirm, cancel, move, what, why, status, who, help", w.Text))
	}
	if err != nil {
		return s, err
	}
	if w := r.peek(); w.Text != "" {
		return s, errorAt(w.Column, fmt.Sprintf("nothing is expected here, found %q", w.Text))
	}
	return s, nil
}

func (r *parser) peek() Token {
	if r.index < len(r.tokens) {
		return r.tokens[r.index]
	}
	return Token{Column: r.endColumn}
}

func (r *parser) next() Token {
	w := r.peek()
	r.index++
	return w
}

func (r *parser) expect(t string) error {
	if w := r.next(); !strings.EqualFold(w.Text, t) {
		return errorAt(w.Column, fmt.Sprintf("expected %q, found %s", t, describe(w)))
	}
	return nil
}

func describe(w Token) string {
	if w.Text == "" {
		return "the end"
	}
	return strconv.Quote(w.Text)
}

func (r *parser) parseSchedule() (Sentence, error) {
	s := Sentence{Verb: VerbSchedule}
	for {
		w := r.peek()
		if w.Text == "" {
			return s, errorAt(w.Column, `expected "for" and what is to be done`)
		}
		if strings.EqualFold(w.Text, "for") {
			break
		}
		s.Name = append(s.Name, r.next())
	}
	f := r.next()
	if len(s.Name) == 0 {
		return s, errorAt(f.Column, "expected what is to be moved")
	}
	k := r.next()
	switch strings.ToLower(k.Text) {
	case "replacement", "replacing":
		s.Kind = maintenance.Replacement
	case "switch", "switching":
		s.Kind = maintenance.Switch
	case "stop", "stopping":
		s.Kind = maintenance.Stop
	default:
		return s, errorAt(k.Column, "expected replacement, switch or stop, found "+describe(k))
	}
	if strings.EqualFold(r.peek().Text, "at") || strings.EqualFold(r.peek().Text, "on") {
		r.next()
	}
	var err error
	s.At, err = r.parseTime()
	return s, err
}

func (r *parser) parseWindowID() (uint64, error) {
	if strings.EqualFold(r.peek().Text, "booking") {
		r.next()
	}
	w := r.next()
	n, err := strconv.ParseUint(strings.TrimPrefix(w.Text, "#"), 10, 64)
	if err != nil {
		return 0, errorAt(w.Column, "expected a booking's number, found "+describe(w))
	}
	return n, nil
}

func (r *parser) parseDay(w Token) (time.Time, bool) {
	y, m, d := r.now.Date()
	switch strings.ToLower(w.Text) {
	case "today":
		return time.Date(y, m, d, 0, 0, 0, 0, r.now.Location()), true
	case "tomorrow":
		return time.Date(y, m, d+1, 0, 0, 0, 0, r.now.Location()), true
	}
	t, err := time.ParseInLocation("2006-01-02", w.Text, r.now.Location())
	return t, err == nil
}

// parseTime is [day] HH:MM; without a day it is the next such moment.
func (r *parser) parseTime() (time.Time, error) {
	w := r.next()
	day, has := r.parseDay(w)
	if has {
		if w = r.next(); strings.EqualFold(w.Text, "at") {
			w = r.next()
		}
	}
	c, err := time.Parse("15:04", w.Text)
	if err != nil {
		return time.Time{}, errorAt(w.Column, "expected a time such as 02:00, or a day and a time, found "+describe(w))
	}
	if !has {
		if d, ok := r.parseDay(r.peek()); ok {
			day, has = d, true
			r.next()
		}
	}
	if !has {
		day, _ = r.parseDay(Token{Text: "today"})
	}
	y, m, d := day.Date()
	t := time.Date(y, m, d, c.Hour(), c.Minute(), 0, 0, r.now.Location())
	if !has && !t.After(r.now) {
		t = time.Date(y, m, d+1, c.Hour(), c.Minute(), 0, 0, r.now.Location())
	}
	return t, nil
}

func (r *parser) parseListWindows() (Sentence, error) {
	s := Sentence{Verb: VerbListWindows}
	if err := r.expect("is"); err != nil {
		return s, err
	}
	if err := r.expect("booked"); err != nil {
		return s, err
	}
	if w := r.peek(); w.Text != "" && !strings.EqualFold(w.Text, "for") {
		r.next()
		if strings.EqualFold(w.Text, "on") {
			w = r.next()
		}
		d, ok := r.parseDay(w)
		if !ok {
			return s, errorAt(w.Column, "expected today, tomorrow, a date such as 2027-01-31 or for and whom, found "+describe(w))
		}
		y, m, n := d.Date()
		s.From, s.Until = d, time.Date(y, m, n+1, 0, 0, 0, 0, d.Location())
	}
	if strings.EqualFold(r.peek().Text, "for") {
		r.next()
		if s.Subject = r.next(); s.Subject.Text == "" {
			return s, errorAt(s.Subject.Column, "expected a partner, group, database or machine behind for")
		}
	}
	return s, nil
}

// parseWhy is read ID on its copy, or why are reads of GROUP where they are.
func (r *parser) parseWhy() (Sentence, error) {
	s := Sentence{Verb: VerbWhy}
	w := r.next()
	rest := []string{"on", "its", "copy"}
	switch strings.ToLower(w.Text) {
	case "is":
		if err := r.expect("read"); err != nil {
			return s, err
		}
		id := r.next()
		if s.ReadID = id.Text; s.ReadID == "" {
			return s, errorAt(id.Column, "expected the id that the read's caller gave")
		}
	case "are":
		for _, t := range []string{"reads", "of"} {
			if err := r.expect(t); err != nil {
				return s, err
			}
		}
		if s.Group = r.next(); s.Group.Text == "" {
			return s, errorAt(s.Group.Column, "expected a group")
		}
		rest = []string{"where", "they", "are"}
	default:
		return s, errorAt(w.Column, "expected is or are, found "+describe(w))
	}
	if r.peek().Text == "" {
		return s, nil
	}
	for _, t := range rest {
		if strings.EqualFold(r.peek().Text, "this") && t == "its" {
			r.next()
			continue
		}
		if err := r.expect(t); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Group finds the one group that a word names among a partner's places.
func Group(w Token, targets []Target, partner string) (string, error) {
	var own []Target
	for _, p := range targets {
		if p.Partner == partner {
			own = append(own, p)
		}
	}
	for _, p := range own {
		if inGroup(p, w.Text) {
			return p.Group, nil
		}
	}
	return "", errorAt(w.Column, fmt.Sprintf("%s has no group %q; there are: %s", partner, w.Text, joinSorted(own, func(p Target) string { return p.Group })))
}

// MatchSubject tells which bookings a word names: of a partner, group, database or
// machine.
func MatchSubject(w Token, targets []Target) (fits func(owner, group, target string) bool, err error) {
	last := func(t string) string { return t[strings.LastIndex(t, "/")+1:] }
	matches := func(t string) bool {
		return t != "" && (strings.EqualFold(t, w.Text) || strings.EqualFold(last(t), w.Text))
	}
	for _, p := range targets {
		if matches(p.Name) || matches(p.Partner) || matches(p.Group) {
			return func(owner, group, target string) bool { return matches(owner) || matches(group) || matches(target) }, nil
		}
	}
	return nil, errorAt(w.Column, fmt.Sprintf("%q is no partner, group, database or machine; there are: %s", w.Text, joinSorted(targets, func(p Target) string { return p.Name })))
}

// Resolve finds the one place that words name. With none or several it says
// which there are.
func Resolve(tokens []Token, targets []Target, machines bool) (Target, error) {
	at := tokens[0].Column
	var zone, group, role, name string
	for i := 0; i < len(tokens); i++ {
		w := strings.ToLower(tokens[i].Text)
		switch {
		case slices.Contains([]string{"the", "a", "database", "machine", "in", "at"}, w):
		case w == "replica" || w == "primary":
			role = w
		case w == "of":
			if i+1 == len(tokens) {
				return Target{}, errorAt(tokens[i].Column, "expected a group behind of")
			}
			i++
			group = strings.ToLower(tokens[i].Text)
			if !slices.ContainsFunc(targets, func(p Target) bool { return inGroup(p, group) }) {
				return Target{}, errorAt(tokens[i].Column, fmt.Sprintf("no group %q; there are: %s", tokens[i].Text, joinSorted(targets, func(p Target) string { return p.Group })))
			}
		case slices.ContainsFunc(targets, func(p Target) bool { return strings.EqualFold(p.Name, w) }):
			name = w
		case slices.ContainsFunc(targets, func(p Target) bool { return strings.EqualFold(p.Zone, w) }):
			zone = w
		case slices.ContainsFunc(targets, func(p Target) bool { return inGroup(p, w) }):
			group = w
		default:
			return Target{}, errorAt(tokens[i].Column, fmt.Sprintf("%q is no database, machine, zone or group; there are: %s", tokens[i].Text,
				joinSorted(targets, func(p Target) string {
					if p.Machine != machines {
						return ""
					}
					return p.Name
				})))
		}
	}
	var fit []Target
	for _, p := range targets {
		if p.Machine == machines && (name == "" || strings.EqualFold(p.Name, name)) && (zone == "" || strings.EqualFold(p.Zone, zone)) &&
			(group == "" || inGroup(p, group)) && (role == "" || (role == "primary") == p.Primary && !p.Machine) {
			fit = append(fit, p)
		}
	}
	switch len(fit) {
	case 1:
		return fit[0], nil
	case 0:
		return Target{}, errorAt(at, "nothing fits; there are: "+joinSorted(targets, func(p Target) string {
			if p.Machine != machines {
				return ""
			}
			return p.String()
		}))
	}
	return Target{}, &Error{Column: at, Text: "this fits: " + joinSorted(fit, Target.String), Ambiguous: true}
}

func inGroup(p Target, g string) bool {
	return p.Group != "" && (strings.EqualFold(p.Group, g) || strings.EqualFold(p.Group[strings.Index(p.Group, "/")+1:], g))
}

func joinSorted(targets []Target, f func(Target) string) string {
	var texts []string
	for _, p := range targets {
		if t := f(p); t != "" && !slices.Contains(texts, t) {
			texts = append(texts, t)
		}
	}
	slices.Sort(texts)
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, ", ")
}
