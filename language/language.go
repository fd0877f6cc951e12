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

	"stoneford/bookings"
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
	VerbBook    = "book"
	VerbConfirm = "confirm"
	VerbCancel  = "cancel"
	VerbMove    = "move"
	VerbBooked  = "booked"
	VerbStatus  = "status"
	VerbApplied = "applied"
	VerbWhy     = "why"
	VerbHelp    = "help"
)

// Sentence is what was understood.
type Sentence struct {
	Verb    string
	Name    []Word
	Kind    string
	Booking uint64
	At      time.Time
	From    time.Time // of a question about a day
	Until   time.Time
	Whom    Word   // whose bookings are asked for
	Read    string // the id of a read that is asked about
	Group   Word   // the group whose reads are asked about
}

// Word is one word and where it begins, from column 1.
type Word struct {
	Text   string
	Column int
}

// Error points at a column.
type Error struct {
	Column  int
	Text    string
	Several bool // a name fits several; the text names them
}

func fail(column int, text string) *Error { return &Error{Column: column, Text: text} }

func (e *Error) Error() string { return fmt.Sprintf("column %d: %s", e.Column, e.Text) }

// Place is something a name can mean.
type Place struct {
	Name    string // of a database or machine
	Machine bool
	Partner string
	Group   string // PARTNER/GROUP
	Zone    string
	Primary bool
}

// String is how a place is told apart from others.
func (p Place) String() string {
	if p.Machine {
		return p.Name + " (machine in " + p.Zone + ")"
	}
	r := "replica"
	if p.Primary {
		r = "primary"
	}
	return fmt.Sprintf("%s (%s of %s in %s)", p.Name, r, p.Group, p.Zone)
}

type reader struct {
	ws  []Word
	i   int
	end int
	now time.Time
}

func words(s string) ([]Word, int) {
	var ws []Word
	rs := []rune(s)
	for i := 0; i < len(rs); {
		if unicode.IsSpace(rs[i]) {
			i++
			continue
		}
		j := i
		for j < len(rs) && !unicode.IsSpace(rs[j]) {
			j++
		}
		ws = append(ws, Word{Text: string(rs[i:j]), Column: i + 1})
		i = j
	}
	return ws, len(rs) + 1
}

// Parse reads a sentence; now is the time in the partner's zone.
func Parse(text string, now time.Time) (Sentence, error) {
	ws, end := words(strings.TrimRight(strings.TrimRight(text, " \t\n?."), " "))
	r := &reader{ws: ws, end: end, now: now}
	w := r.next()
	var s Sentence
	var err error
	switch strings.ToLower(w.Text) {
	case "":
		return s, fail(1, "nothing was said; try help")
	case "book":
		s, err = r.book()
	case "confirm", "cancel":
		s.Verb = strings.ToLower(w.Text)
		s.Booking, err = r.booking()
	case "move":
		s.Verb = VerbMove
		if s.Booking, err = r.booking(); err == nil {
			if err = r.expect("to"); err == nil {
				s.At, err = r.time()
			}
		}
	case "what":
		s, err = r.question()
	case "status":
		s.Verb = VerbStatus
	case "who":
		s.Verb = VerbApplied
		if err = r.expect("applied"); err == nil && strings.EqualFold(r.peek().Text, "what") {
			r.next()
		}
	case "why":
		s, err = r.why()
	case "help":
		s.Verb = VerbHelp
	default:
		return s, fail(w.Column, fmt.Sprintf("%q begins no sentence; these do: book, confirm, cancel, move, what, why, status, who, help", w.Text))
	}
	if err != nil {
		return s, err
	}
	if w := r.peek(); w.Text != "" {
		return s, fail(w.Column, fmt.Sprintf("nothing is expected here, found %q", w.Text))
	}
	return s, nil
}

func (r *reader) peek() Word {
	if r.i < len(r.ws) {
		return r.ws[r.i]
	}
	return Word{Column: r.end}
}

func (r *reader) next() Word {
	w := r.peek()
	r.i++
	return w
}

func (r *reader) expect(t string) error {
	if w := r.next(); !strings.EqualFold(w.Text, t) {
		return fail(w.Column, fmt.Sprintf("expected %q, found %s", t, found(w)))
	}
	return nil
}

func found(w Word) string {
	if w.Text == "" {
		return "the end"
	}
	return strconv.Quote(w.Text)
}

func (r *reader) book() (Sentence, error) {
	s := Sentence{Verb: VerbBook}
	for {
		w := r.peek()
		if w.Text == "" {
			return s, fail(w.Column, `expected "for" and what is to be done`)
		}
		if strings.EqualFold(w.Text, "for") {
			break
		}
		s.Name = append(s.Name, r.next())
	}
	f := r.next()
	if len(s.Name) == 0 {
		return s, fail(f.Column, "expected what is to be moved")
	}
	k := r.next()
	switch strings.ToLower(k.Text) {
	case "replacement", "replacing":
		s.Kind = bookings.Replacement
	case "switch", "switching":
		s.Kind = bookings.Switch
	case "stop", "stopping":
		s.Kind = bookings.Stop
	default:
		return s, fail(k.Column, "expected replacement, switch or stop, found "+found(k))
	}
	if strings.EqualFold(r.peek().Text, "at") || strings.EqualFold(r.peek().Text, "on") {
		r.next()
	}
	var err error
	s.At, err = r.time()
	return s, err
}

func (r *reader) booking() (uint64, error) {
	if strings.EqualFold(r.peek().Text, "booking") {
		r.next()
	}
	w := r.next()
	n, err := strconv.ParseUint(strings.TrimPrefix(w.Text, "#"), 10, 64)
	if err != nil {
		return 0, fail(w.Column, "expected a booking's number, found "+found(w))
	}
	return n, nil
}

func (r *reader) day(w Word) (time.Time, bool) {
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

// time is [day] HH:MM; without a day it is the next such moment.
func (r *reader) time() (time.Time, error) {
	w := r.next()
	day, has := r.day(w)
	if has {
		if w = r.next(); strings.EqualFold(w.Text, "at") {
			w = r.next()
		}
	}
	c, err := time.Parse("15:04", w.Text)
	if err != nil {
		return time.Time{}, fail(w.Column, "expected a time such as 02:00, or a day and a time, found "+found(w))
	}
	if !has {
		if d, ok := r.day(r.peek()); ok {
			day, has = d, true
			r.next()
		}
	}
	if !has {
		day, _ = r.day(Word{Text: "today"})
	}
	y, m, d := day.Date()
	t := time.Date(y, m, d, c.Hour(), c.Minute(), 0, 0, r.now.Location())
	if !has && !t.After(r.now) {
		t = time.Date(y, m, d+1, c.Hour(), c.Minute(), 0, 0, r.now.Location())
	}
	return t, nil
}

func (r *reader) question() (Sentence, error) {
	s := Sentence{Verb: VerbBooked}
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
		d, ok := r.day(w)
		if !ok {
			return s, fail(w.Column, "expected today, tomorrow, a date such as 2027-01-31 or for and whom, found "+found(w))
		}
		y, m, n := d.Date()
		s.From, s.Until = d, time.Date(y, m, n+1, 0, 0, 0, 0, d.Location())
	}
	if strings.EqualFold(r.peek().Text, "for") {
		r.next()
		if s.Whom = r.next(); s.Whom.Text == "" {
			return s, fail(s.Whom.Column, "expected a partner, group, database or machine behind for")
		}
	}
	return s, nil
}

// why is read ID on its copy, or why are reads of GROUP where they are.
func (r *reader) why() (Sentence, error) {
	s := Sentence{Verb: VerbWhy}
	w := r.next()
	rest := []string{"on", "its", "copy"}
	switch strings.ToLower(w.Text) {
	case "is":
		if err := r.expect("read"); err != nil {
			return s, err
		}
		id := r.next()
		if s.Read = id.Text; s.Read == "" {
			return s, fail(id.Column, "expected the id that the read's caller gave")
		}
	case "are":
		for _, t := range []string{"reads", "of"} {
			if err := r.expect(t); err != nil {
				return s, err
			}
		}
		if s.Group = r.next(); s.Group.Text == "" {
			return s, fail(s.Group.Column, "expected a group")
		}
		rest = []string{"where", "they", "are"}
	default:
		return s, fail(w.Column, "expected is or are, found "+found(w))
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
func Group(w Word, all []Place, partner string) (string, error) {
	var own []Place
	for _, p := range all {
		if p.Partner == partner {
			own = append(own, p)
		}
	}
	for _, p := range own {
		if inGroup(p, w.Text) {
			return p.Group, nil
		}
	}
	return "", fail(w.Column, fmt.Sprintf("%s has no group %q; there are: %s", partner, w.Text, list(own, func(p Place) string { return p.Group })))
}

// Whom tells which bookings a word names: of a partner, group, database or
// machine.
func Whom(w Word, all []Place) (fits func(owner, group, target string) bool, err error) {
	last := func(t string) string { return t[strings.LastIndex(t, "/")+1:] }
	is := func(t string) bool {
		return t != "" && (strings.EqualFold(t, w.Text) || strings.EqualFold(last(t), w.Text))
	}
	for _, p := range all {
		if is(p.Name) || is(p.Partner) || is(p.Group) {
			return func(owner, group, target string) bool { return is(owner) || is(group) || is(target) }, nil
		}
	}
	return nil, fail(w.Column, fmt.Sprintf("%q is no partner, group, database or machine; there are: %s", w.Text, list(all, func(p Place) string { return p.Name })))
}

// Resolve finds the one place that words name. With none or several it says
// which there are.
func Resolve(ws []Word, all []Place, machines bool) (Place, error) {
	at := ws[0].Column
	var zone, group, role, name string
	for i := 0; i < len(ws); i++ {
		w := strings.ToLower(ws[i].Text)
		switch {
		case slices.Contains([]string{"the", "a", "database", "machine", "in", "at"}, w):
		case w == "replica" || w == "primary":
			role = w
		case w == "of":
			if i+1 == len(ws) {
				return Place{}, fail(ws[i].Column, "expected a group behind of")
			}
			i++
			group = strings.ToLower(ws[i].Text)
			if !slices.ContainsFunc(all, func(p Place) bool { return inGroup(p, group) }) {
				return Place{}, fail(ws[i].Column, fmt.Sprintf("no group %q; there are: %s", ws[i].Text, list(all, func(p Place) string { return p.Group })))
			}
		case slices.ContainsFunc(all, func(p Place) bool { return strings.EqualFold(p.Name, w) }):
			name = w
		case slices.ContainsFunc(all, func(p Place) bool { return strings.EqualFold(p.Zone, w) }):
			zone = w
		case slices.ContainsFunc(all, func(p Place) bool { return inGroup(p, w) }):
			group = w
		default:
			return Place{}, fail(ws[i].Column, fmt.Sprintf("%q is no database, machine, zone or group; there are: %s", ws[i].Text,
				list(all, func(p Place) string {
					if p.Machine != machines {
						return ""
					}
					return p.Name
				})))
		}
	}
	var fit []Place
	for _, p := range all {
		if p.Machine == machines && (name == "" || strings.EqualFold(p.Name, name)) && (zone == "" || strings.EqualFold(p.Zone, zone)) &&
			(group == "" || inGroup(p, group)) && (role == "" || (role == "primary") == p.Primary && !p.Machine) {
			fit = append(fit, p)
		}
	}
	switch len(fit) {
	case 1:
		return fit[0], nil
	case 0:
		return Place{}, fail(at, "nothing fits; there are: "+list(all, func(p Place) string {
			if p.Machine != machines {
				return ""
			}
			return p.String()
		}))
	}
	return Place{}, &Error{Column: at, Text: "this fits: " + list(fit, Place.String), Several: true}
}

func inGroup(p Place, g string) bool {
	return p.Group != "" && (strings.EqualFold(p.Group, g) || strings.EqualFold(p.Group[strings.Index(p.Group, "/")+1:], g))
}

func list(ps []Place, f func(Place) string) string {
	var ts []string
	for _, p := range ps {
		if t := f(p); t != "" && !slices.Contains(ts, t) {
			ts = append(ts, t)
		}
	}
	slices.Sort(ts)
	if len(ts) == 0 {
		return "none"
	}
	return strings.Join(ts, ", ")
}
