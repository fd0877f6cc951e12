package main

import (
	"regexp"
	"slices"
	"strings"
)

// withdrawnWord is a word that docs/glossary.md replaces by a standard term.
type withdrawnWord struct {
	word        string
	forms       []string // other forms of the word, which are withdrawn as well
	prefix      bool     // also match parts of a name that begin with the word or one of its forms
	replacement string
	nameOnly    bool // check names only, as the word is common in prose
}

// withdrawnWords lists first the words that users asked to replace, then this project's own
// coinages. The glossary has further words, such as "list", "line", "part", "queue",
// "probe", "try", "helper", "fence" and "ballot", that are not checked because they are
// also suitable names for other things.
var withdrawnWords = []withdrawnWord{
	{word: "told", forms: []string{"tell", "tells"}, replacement: "notified or acknowledged"},
	{word: "whole", replacement: "complete"},
	{word: "held", replacement: "pending, in flight or frozen", nameOnly: true},
	{word: "further", replacement: "retry or hedged", nameOnly: true},
	{word: "leave", forms: []string{"leaves", "leaving"}, replacement: "drain", nameOnly: true},
	{word: "cold", replacement: "warming up"},
	{word: "ramp", replacement: "slow start"},
	{word: "aim", replacement: "latency target"},
	{word: "worth", replacement: "value or weight"},
	{word: "trouble", forms: []string{"troubles", "mishap"}, replacement: "fault"},
	{word: "ill", forms: []string{"sick"}, replacement: "unhealthy"},
	{word: "thrown", replacement: "ejected"},
	{word: "beat", forms: []string{"beats"}, replacement: "heartbeat"},
	{word: "life", forms: []string{"lives"}, replacement: "incarnation"},
	{word: "news", replacement: "update"},
	{word: "word", replacement: "update or status", nameOnly: true},
	{word: "duty", forms: []string{"duties"}, replacement: "singleton role"},
	{word: "holder", forms: []string{"keeper"}, replacement: "owner or leader"},
	{word: "hold", forms: []string{"holds"}, replacement: "lease or freeze", nameOnly: true},
	{word: "mate", forms: []string{"mates", "fellow", "kin"}, replacement: "peer"},
	{word: "copy", forms: []string{"copies"}, replacement: "replica", nameOnly: true},
	{word: "piece", forms: []string{"pieces"}, replacement: "shard or chunk"},
	{word: "place", forms: []string{"places"}, replacement: "offset, position or failure domain", nameOnly: true},
	{word: "mark", forms: []string{"marks"}, replacement: "offset or watermark", nameOnly: true},
	{word: "letter", forms: []string{"errand"}, replacement: "message"},
	{word: "note", replacement: "message", nameOnly: true},
	{word: "book", forms: []string{"ledger"}, replacement: "log or table"},
	{word: "round", forms: []string{"rounds"}, replacement: "ballot number or term", nameOnly: true},
	{word: "promise", replacement: "prepare response"},
	{word: "vote", forms: []string{"votes"}, replacement: "accept", nameOnly: true},
	{word: "settle", forms: []string{"settled"}, replacement: "commit"},
	{word: "mend", forms: []string{"mended"}, replacement: "repair"},
	{word: "silence", forms: []string{"silent"}, replacement: "time-out or unresponsive"},
	{word: "cut", forms: []string{"cuts"}, replacement: "partition"},
	{word: "share", replacement: "quota or weight", nameOnly: true},
	{word: "ceiling", replacement: "rate limit"},
	{word: "shed", replacement: "load shedding"},
	{word: "pause", replacement: "backoff", nameOnly: true},
	{word: "repeatable", replacement: "idempotent"},
	{word: "pinned", replacement: "affinity"},
	{word: "lot", replacement: "batch job", nameOnly: true},
	{word: "room", replacement: "capacity", nameOnly: true},
	{word: "bounce", forms: []string{"bouncing"}, prefix: true, replacement: "reject"},
	{word: "burden", prefix: true, replacement: "load"},
	{word: "permit", prefix: true, replacement: "lease"},
	{word: "neighbour", forms: []string{"neighbor"}, prefix: true, replacement: "peer"},
	{word: "expiry", forms: []string{"expirie"}, prefix: true, replacement: "deadline"},
	{word: "bootfile", prefix: true, replacement: "configuration"},

	{word: "say", forms: []string{"says", "said"}, replacement: "log or reply", nameOnly: true},
	{word: "ask", forms: []string{"asked"}, replacement: "request or call", nameOnly: true},
	{word: "look", forms: []string{"looks"}, replacement: "poll", nameOnly: true},
	{word: "doubt", forms: []string{"doubts"}, replacement: "unconfirmed"},
	{word: "vouched", replacement: "confirmed"},
	{word: "apart", replacement: "disconnected"},
	{word: "dirty", replacement: "changed"},
	{word: "most", replacement: "max", nameOnly: true},
	{word: "again", replacement: "retry", nameOnly: true},
	{word: "way", forms: []string{"ways"}, replacement: "path", nameOnly: true},
	{word: "taken", replacement: "accepted", nameOnly: true},
	{word: "roster", replacement: "membership"},
	{word: "truth", replacement: "oracle"},
}

// standardUse describes names or texts in which a withdrawn word is the standard term.
type standardUse struct {
	word    string
	pattern *regexp.Regexp
	folders []string // folders in which the use is standard, nil for all
}

// standardUses lists the standard uses that docs/glossary.md names.
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

// namePart matches the parts of an identifier, split at changes of case and at characters
// that are not letters.
var namePart = regexp.MustCompile(`[A-Z]+(?:[a-z]+|\b|$)|[A-Z]?[a-z]+|[A-Z]+`)

// textWord matches the words of a text.
var textWord = regexp.MustCompile(`[A-Za-z]+`)

// withdrawnInName returns the withdrawn words among the parts of an identifier, each as
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

// withdrawnInText returns the withdrawn words in a prose text, each as often as it occurs.
func withdrawnInText(file, text string) []withdrawnWord {
	var out []withdrawnWord
	for _, part := range textWord.FindAllString(text, -1) {
		if w, ok := findWithdrawn(strings.ToLower(part)); ok && !w.nameOnly && !isStandard(w.word, file, text) {
			out = append(out, w)
		}
	}
	return out
}

// findWithdrawn returns the withdrawn word that matches a lower-case part of a name or word
// of a text, if there is one.
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

// isStandard reports whether a name or text in a file uses a withdrawn word as the
// standard term.
func isStandard(word, file, text string) bool {
	return slices.ContainsFunc(standardUses, func(u standardUse) bool {
		return u.word == word && u.pattern.MatchString(text) && u.appliesTo(file)
	})
}

// appliesTo reports whether the use is standard in a file.
func (u standardUse) appliesTo(file string) bool {
	return u.folders == nil || slices.ContainsFunc(u.folders, func(folder string) bool { return strings.HasPrefix(file, folder+"/") })
}
