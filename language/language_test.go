package language

import (
	"errors"
	"testing"
	"time"

	"stoneford/maintenance"
)

var (
	zone    = time.FixedZone("EET", 2*3600)
	now     = time.Date(2026, 12, 1, 23, 30, 0, 0, zone)
	targets = []Target{
		{Name: "inventory-1-a", Partner: "pharmacies", Group: "pharmacies/inventory-1", Zone: "cluj", Primary: true},
		{Name: "inventory-1-b", Partner: "pharmacies", Group: "pharmacies/inventory-1", Zone: "iasi"},
		{Name: "inventory-2-a", Partner: "pharmacies", Group: "pharmacies/inventory-2", Zone: "iasi", Primary: true},
		{Name: "inventory-2-b", Partner: "pharmacies", Group: "pharmacies/inventory-2", Zone: "cluj"},
		{Name: "pool-1", Machine: true, Partner: "lender", Zone: "cluj"},
		{Name: "pool-2", Machine: true, Partner: "lender", Zone: "iasi"},
	}
)

func TestParseCommands(t *testing.T) {
	for text, want := range map[string]Sentence{
		"book the Cluj replica for replacement at 02:00":       {Verb: VerbSchedule, Kind: maintenance.Replacement, At: time.Date(2026, 12, 2, 2, 0, 0, 0, zone)},
		"book pool-1 for stop at 23:45":                        {Verb: VerbSchedule, Kind: maintenance.Stop, At: time.Date(2026, 12, 1, 23, 45, 0, 0, zone)},
		"Book inventory-1-a for switch at tomorrow 04:05":      {Verb: VerbSchedule, Kind: maintenance.Switch, At: time.Date(2026, 12, 2, 4, 5, 0, 0, zone)},
		"book inventory-1-a for switch at 04:05 2026-12-24":    {Verb: VerbSchedule, Kind: maintenance.Switch, At: time.Date(2026, 12, 24, 4, 5, 0, 0, zone)},
		"book inventory-1-a for switch on 2026-12-24 at 04:05": {Verb: VerbSchedule, Kind: maintenance.Switch, At: time.Date(2026, 12, 24, 4, 5, 0, 0, zone)},
		"confirm booking 3":                                    {Verb: VerbConfirm, WindowID: 3},
		"cancel #4":                                            {Verb: VerbCancel, WindowID: 4},
		"move booking 3 to tomorrow 05:00":                     {Verb: VerbMove, WindowID: 3, At: time.Date(2026, 12, 2, 5, 0, 0, 0, zone)},
		"what is booked?":                                      {Verb: VerbListWindows},
		"what is booked tomorrow":                              {Verb: VerbListWindows, From: time.Date(2026, 12, 2, 0, 0, 0, 0, zone), Until: time.Date(2026, 12, 3, 0, 0, 0, 0, zone)},
		"what is booked on 2027-01-31":                         {Verb: VerbListWindows, From: time.Date(2027, 1, 31, 0, 0, 0, 0, zone), Until: time.Date(2027, 2, 1, 0, 0, 0, 0, zone)},
		"status":                                               {Verb: VerbStatus}, "who applied": {Verb: VerbApplied}, "help": {Verb: VerbHelp},
	} {
		s, err := Parse(text, now)
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		s.Name = nil
		if s.Verb != want.Verb || s.Kind != want.Kind || s.WindowID != want.WindowID || !s.At.Equal(want.At) || !s.From.Equal(want.From) || !s.Until.Equal(want.Until) {
			t.Errorf("%q: %+v", text, s)
		}
	}
}

func TestParseErrorsNameTheColumn(t *testing.T) {
	for text, column := range map[string]int{
		"":                                     1,
		"bok the replica":                      1,
		"book the Cluj replica":                22,
		"book for replacement at 02:00":        6,
		"book pool-1 for dinner at 02:00":      17,
		"book pool-1 for stop at noon":         25,
		"book pool-1 for stop at 02:00 please": 31,
		"confirm booking":                      16,
		"confirm booking x":                    17,
		"what is cooking":                      9,
		"what is booked someday":               16,
		"move booking 3 at 02:00":              16,
		"what is booked today for":             25,
		"why is read":                          12,
		"why is read t1 on copy":               19,
		"why are reads of":                     17,
		"why not":                              5,
	} {
		_, err := Parse(text, now)
		var e *Error
		if !errors.As(err, &e) || e.Column != column {
			t.Errorf("%q: %v, not column %d", text, err, column)
		}
	}
}

func TestParseQuestions(t *testing.T) {
	for text, want := range map[string]Sentence{
		"why is read t17 on its copy":               {Verb: VerbWhy, ReadID: "t17"},
		"why is read t17 on this copy?":             {Verb: VerbWhy, ReadID: "t17"},
		"why are reads of inventory-1":              {Verb: VerbWhy, Group: Token{"inventory-1", 18}},
		"what is booked for pharmacies":             {Verb: VerbListWindows, Subject: Token{"pharmacies", 20}},
		"who applied what":                          {Verb: VerbApplied},
		"why are reads of ledger-1 where they are?": {Verb: VerbWhy, Group: Token{"ledger-1", 18}},
	} {
		s, err := Parse(text, now)
		if err != nil || s.Verb != want.Verb || s.ReadID != want.ReadID || s.Group != want.Group || s.Subject != want.Subject {
			t.Errorf("%q: %+v, %v", text, s, err)
		}
	}
	if g, err := Group(Token{"inventory-2", 1}, targets, "pharmacies"); err != nil || g != "pharmacies/inventory-2" {
		t.Errorf("%s %v", g, err)
	}
	if _, err := Group(Token{"inventory-2", 4}, targets, "lender"); err == nil || err.Error() != `column 4: lender has no group "inventory-2"; there are: none` {
		t.Errorf("another partner's group: %v", err)
	}
	if f, err := MatchSubject(Token{"inventory-1", 1}, targets); err != nil || !f("pharmacies", "pharmacies/inventory-1", "pharmacies/inventory-1-a") || f("pharmacies", "pharmacies/inventory-2", "pharmacies/inventory-2-a") {
		t.Errorf("bookings of a group: %v", err)
	}
	if _, err := MatchSubject(Token{"nobody", 3}, targets); err == nil {
		t.Error("bookings of nobody")
	}
}

// FuzzParse: no sentence ends the process, and each error names a column within
// the text or just behind it.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"book the Cluj replica for replacement at 02:00", "what is booked on 2027-01-31 for lender", "why is read x on its copy", "move booking #3 to tomorrow 25:61", "confirm booking 99999999999999999999", "why are reads of \xff\u2028"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text, now)
		var e *Error
		if err != nil && (!errors.As(err, &e) || e.Column < 1 || e.Column > len([]rune(text))+1) {
			t.Errorf("%q: %v", text, err)
		}
		if err == nil && len(s.Name) > 0 {
			if _, err := Resolve(s.Name, targets, s.Kind == "stop"); err != nil && !errors.As(err, &e) {
				t.Errorf("%q: %v", text, err)
			}
		}
	})
}

func TestResolve(t *testing.T) {
	for text, want := range map[string]string{
		"the Cluj replica":                      "inventory-2-b",
		"the primary of inventory-1":            "inventory-1-a",
		"the inventory-2 primary":               "inventory-2-a",
		"inventory-1-b":                         "inventory-1-b",
		"the replica of pharmacies/inventory-1": "inventory-1-b",
	} {
		ws, _ := tokenize(text)
		p, err := Resolve(ws, targets, false)
		if err != nil || p.Name != want {
			t.Errorf("%q: %v %v", text, p, err)
		}
	}
	ws, _ := tokenize("pool-2")
	if p, err := Resolve(ws, targets, true); err != nil || p.Name != "pool-2" {
		t.Errorf("%v %v", p, err)
	}
	for text, want := range map[string]string{
		"the replica":                     "column 1: this fits: inventory-1-b (replica of pharmacies/inventory-1 in iasi), inventory-2-b (replica of pharmacies/inventory-2 in cluj)",
		"the Iasi replica of inventory-2": "column 1: nothing fits; there are: inventory-1-a (primary of pharmacies/inventory-1 in cluj), inventory-1-b (replica of pharmacies/inventory-1 in iasi), inventory-2-a (primary of pharmacies/inventory-2 in iasi), inventory-2-b (replica of pharmacies/inventory-2 in cluj)",
		"the Sibiu replica":               `column 5: "Sibiu" is no database, machine, zone or group; there are: inventory-1-a, inventory-1-b, inventory-2-a, inventory-2-b`,
		"the primary of nowhere":          `column 16: no group "nowhere"; there are: pharmacies/inventory-1, pharmacies/inventory-2`,
	} {
		ws, _ := tokenize(text)
		if _, err := Resolve(ws, targets, false); err == nil || err.Error() != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}
