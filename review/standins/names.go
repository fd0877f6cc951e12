package main

import (
	_ "embed"
	"strings"
)

// namesText lists the platform's names, as the users' pages give them: on each line a key
// and a name. The sources of this package use the keys, since the platform's names belong in
// the sources of package platform alone.
//
//go:embed names.txt
var namesText string

// names replaces each key in braces by its name.
var names = newNames(namesText)

func newNames(text string) *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(text) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		pairs = append(pairs, "{"+key+"}", name)
	}
	return strings.NewReplacer(pairs...)
}

// x returns a text with the platform's names in place of their keys.
func x(text string) string { return names.Replace(text) }
