package main

import (
	"regexp"
	"slices"
	"strings"
)

// withdrawnWord is a word that docs/glossary.md withdraws.
type withdrawnWord struct {
	word     string
	forms    []string // further forms that count as the word
	prefix   bool     // a part of a name that only begins with a form counts as well
	standard string
	nameOnly bool // too ordinary in prose to be looked for in texts
}

// withdrawnWords are the users' list, then names of this project. "list", "line",
// "part", "queue", "probe", "try", "helper", "fence", "ballot" and the like stand in the
// glossary too, but are good names for other things.
var withdrawnWords = []withdrawnWord{
	{word: "told", forms: []string{"tell", "tells"}, standard: "notified or acknowledged"},
	{word: "whole", standard: "complete"},
	{word: "held", standard: "pending, in flight or frozen", nameOnly: true},
	{word: "further", standard: "retry or hedged", nameOnly: true},
	{word: "leave", forms: []string{"leaves", "leaving"}, standard: "drain", nameOnly: true},
	{word: "cold", standard: "warming up"},
	{word: "ramp", standard: "slow start"},
	{word: "aim", standard: "latency target"},
	{word: "worth", standard: "value or weight"},
	{word: "trouble", forms: []string{"troubles", "mishap"}, standard: "fault"},
	{word: "ill", forms: []string{"sick"}, standard: "unhealthy"},
	{word: "thrown", standard: "ejected"},
	{word: "beat", forms: []string{"beats"}, standard: "heartbeat"},
	{word: "life", forms: []string{"lives"}, standard: "incarnation"},
	{word: "news", standard: "update"},
	{word: "word", standard: "update or status", nameOnly: true},
	{word: "duty", forms: []string{"duties"}, standard: "singleton role"},
	{word: "holder", forms: []string{"keeper"}, standard: "owner or leader"},
	{word: "hold", forms: []string{"holds"}, standard: "lease or freeze", nameOnly: true},
	{word: "mate", forms: []string{"mates", "fellow", "kin"}, standard: "peer"},
	{word: "copy", forms: []string{"copies"}, standard: "replica", nameOnly: true},
	{word: "piece", forms: []string{"pieces"}, standard: "shard or chunk"},
	{word: "place", forms: []string{"places"}, standard: "offset, position or failure domain", nameOnly: true},
	{word: "mark", forms: []string{"marks"}, standard: "offset or watermark", nameOnly: true},
	{word: "letter", forms: []string{"errand"}, standard: "message"},
	{word: "note", standard: "message", nameOnly: true},
	{word: "book", forms: []string{"ledger"}, standard: "log or table"},
	{word: "round", forms: []string{"rounds"}, standard: "ballot number or term", nameOnly: true},
	{word: "promise", standard: "prepare response"},
	{word: "vote", forms: []string{"votes"}, standard: "accept", nameOnly: true},
	{word: "settle", forms: []string{"settled"}, standard: "commit"},
	{word: "mend", forms: []string{"mended"}, standard: "repair"},
	{word: "silence", forms: []string{"silent"}, standard: "time-out or unresponsive"},
	{word: "cut", forms: []string{"cuts"}, standard: "partition"},
	{word: "share", standard: "quota or weight", nameOnly: true},
	{word: "ceiling", standard: "rate limit"},
	{word: "shed", standard: "load shedding"},
	{word: "pause", standard: "backoff", nameOnly: true},
	{word: "repeatable", standard: "idempotent"},
	{word: "pinned", standard: "affinity"},
	{word: "lot", standard: "batch job", nameOnly: true},
	{word: "room", standard: "capacity", nameOnly: true},
	{word: "bounce", forms: []string{"bouncing"}, prefix: true, standard: "reject"},
	{word: "burden", prefix: true, standard: "load"},
	{word: "permit", prefix: true, standard: "lease"},
	{word: "neighbour", forms: []string{"neighbor"}, prefix: true, standard: "peer"},
	{word: "expiry", forms: []string{"expirie"}, prefix: true, standard: "deadline"},
	{word: "bootfile", prefix: true, standard: "configuration"},

	{word: "say", forms: []string{"says", "said"}, standard: "log or reply", nameOnly: true},
	{word: "ask", forms: []string{"asked"}, standard: "request or call", nameOnly: true},
	{word: "look", forms: []string{"looks"}, standard: "poll", nameOnly: true},
	{word: "doubt", forms: []string{"doubts"}, standard: "unconfirmed"},
	{word: "vouched", standard: "confirmed"},
	{word: "apart", standard: "disconnected"},
	{word: "dirty", standard: "changed"},
	{word: "most", standard: "max", nameOnly: true},
	{word: "again", standard: "retry", nameOnly: true},
	{word: "way", forms: []string{"ways"}, standard: "path", nameOnly: true},
	{word: "taken", standard: "accepted", nameOnly: true},
	{word: "roster", standard: "membership"},
	{word: "truth", standard: "oracle"},
}

// standardUse is a name or text in which a withdrawn word is the standard term.
type standardUse struct {
	word    string
	in      *regexp.Regexp
	folders []string // where it is standard; nil: everywhere
}

// standardUses are named in docs/glossary.md.
var standardUses = []standardUse{
	{"copy", regexp.MustCompile(`^(copy|Copy)($|[A-Z])|^copied$|^TestCopy`), nil},               // of a slice, a value or a file
	{"round", regexp.MustCompile(`^(Round|round)$|^roundTrip|RoundTrip`), nil},                  // of a number or duration; a round trip
	{"promise", regexp.MustCompile(`(?i)promise`), []string{"paxos", "schema", "internal/wal"}}, // Paxos' reply to a prepare
	{"share", regexp.MustCompile(`^shared|^sharedLock`), nil},
	{"doubt", regexp.MustCompile(`(?i)in doubt`), nil}, // a transaction in doubt
	{"doubt", regexp.MustCompile(`^(in|In)Doubt|InDoubt`), nil},
	{"cut", regexp.MustCompile(`^Cut(Prefix|Suffix)?$`), nil},                             // strings.Cut and the like
	{"word", regexp.MustCompile(`(?i)word`), []string{"tools"}},                           // a word of a text
	{"told", regexp.MustCompile(`told its state there`), []string{"internal/fleetstate"}}, // an error text that the command prints
	{"silence", regexp.MustCompile(`(?i)silently`), nil},
}

var namePart = regexp.MustCompile(`[A-Z]+(?:[a-z]+|\b|$)|[A-Z]?[a-z]+|[A-Z]+`)

var textWord = regexp.MustCompile(`[A-Za-z]+`)

// withdrawnInName are the withdrawn words in the parts of an identifier, each as
// often as it occurs.
func withdrawnInName(file, name string) []withdrawnWord {
	var out []withdrawnWord
	for _, part := range namePart.FindAllString(name, -1) {
		if w, ok := findWithdrawn(strings.ToLower(part)); ok && !isStandard(w.word, file, name) {
			out = append(out, w)
		}
	}
	return out
}

// withdrawnInText are the withdrawn words in a prose text.
func withdrawnInText(file, text string) []withdrawnWord {
	var out []withdrawnWord
	for _, part := range textWord.FindAllString(text, -1) {
		if w, ok := findWithdrawn(strings.ToLower(part)); ok && !w.nameOnly && !isStandard(w.word, file, text) {
			out = append(out, w)
		}
	}
	return out
}

// findWithdrawn finds the withdrawn word that a lower-case part of a name is.
func findWithdrawn(part string) (withdrawnWord, bool) {
	for _, w := range withdrawnWords {
		if part == w.word || slices.Contains(w.forms, part) {
			return w, true
		}
		if w.prefix && slices.ContainsFunc(append([]string{w.word}, w.forms...), func(form string) bool { return strings.HasPrefix(part, form) }) {
			return w, true
		}
	}
	return withdrawnWord{}, false
}

// isStandard reports that a name or text uses a withdrawn word in its standard sense.
func isStandard(word, file, in string) bool {
	return slices.ContainsFunc(standardUses, func(u standardUse) bool {
		return u.word == word && u.in.MatchString(in) && u.appliesTo(file)
	})
}

// appliesTo reports that the use is standard in a file.
func (u standardUse) appliesTo(file string) bool {
	return u.folders == nil || slices.ContainsFunc(u.folders, func(folder string) bool { return strings.HasPrefix(file, folder+"/") })
}
