package language

import (
	"strings"
	"time"
)

// day returns the begin of the day that a token names, and whether it names one.
func (p *parser) day(t Token) (time.Time, bool) {
	switch strings.ToLower(t.Text) {
	case "today":
		return p.midnight(p.now, 0), true
	case "tomorrow":
		return p.midnight(p.now, 1), true
	}
	day, err := time.ParseInLocation("2006-01-02", t.Text, p.now.Location())
	return day, err == nil
}

// midnight is the begin of the day that comes some days after that of t.
func (p *parser) midnight(t time.Time, days int) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d+days, 0, 0, 0, 0, t.Location())
}

// time parses "[DAY [at]] HH:MM" or "HH:MM [DAY]". Without a day it is the next such
// time.
func (p *parser) time() (time.Time, error) {
	t := p.next()
	day, hasDay := p.day(t)
	if hasDay {
		p.skip("at")
		t = p.next()
	}
	clock, err := time.Parse("15:04", t.Text)
	if err != nil {
		return time.Time{}, errorAt(t.Column, "expected a time such as 02:00, or a day and a time, found "+describe(t))
	}
	if !hasDay {
		if day, hasDay = p.day(p.peek()); hasDay {
			p.next()
		} else {
			day = p.midnight(p.now, 0)
		}
	}
	at := p.onDay(day, 0, clock)
	if !hasDay && !at.After(p.now) {
		at = p.onDay(day, 1, clock)
	}
	return at, nil
}

// onDay is the time of day of clock on the day that comes some days after day.
func (p *parser) onDay(day time.Time, days int, clock time.Time) time.Time {
	y, m, d := day.Date()
	return time.Date(y, m, d+days, clock.Hour(), clock.Minute(), 0, 0, p.now.Location())
}
