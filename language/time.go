package language

import (
	"strings"
	"time"
)

// parseDay returns the start of the day that a token names ("today", "tomorrow" or a date),
// and whether the token names a day.
func (p *parser) parseDay(t Token) (time.Time, bool) {
	switch strings.ToLower(t.Text) {
	case "today":
		return p.midnight(p.now, 0), true
	case "tomorrow":
		return p.midnight(p.now, 1), true
	}
	day, err := time.ParseInLocation("2006-01-02", t.Text, p.now.Location())
	return day, err == nil
}

// midnight returns the start of the day that is the given number of days after the day
// of t.
func (p *parser) midnight(t time.Time, days int) time.Time {
	y, m, d := t.Date()
	return time.Date(y, m, d+days, 0, 0, 0, 0, t.Location())
}

// parseTime parses "[DAY [at]] HH:MM" or "HH:MM [DAY]". Without a day it returns the next
// occurrence of HH:MM after now.
func (p *parser) parseTime() (time.Time, error) {
	t := p.next()
	day, hasDay := p.parseDay(t)
	if hasDay {
		p.skip("at")
		t = p.next()
	}
	clock, err := time.Parse("15:04", t.Text)
	if err != nil {
		return time.Time{}, errorAt(t.Column, "expected a time such as 02:00, or a day and a time, found "+describeToken(t))
	}
	if !hasDay {
		if day, hasDay = p.parseDay(p.peek()); hasDay {
			p.next()
		} else {
			day = p.midnight(p.now, 0)
		}
	}
	at := p.clockOnDay(day, 0, clock)
	if !hasDay && !at.After(p.now) {
		at = p.clockOnDay(day, 1, clock)
	}
	return at, nil
}

// clockOnDay returns the hour and minute of clock on the day that is the given number of
// days after day.
func (p *parser) clockOnDay(day time.Time, days int, clock time.Time) time.Time {
	y, m, d := day.Date()
	return time.Date(y, m, d+days, clock.Hour(), clock.Minute(), 0, 0, p.now.Location())
}
