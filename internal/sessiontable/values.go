package sessiontable

import (
	"maps"
	"slices"
	"strings"
)

// sessionValues are the values that a session set. They are immutable: setting a value
// creates a new object, so that sessions and connections can share them.
type sessionValues struct {
	key    string // sorted names with their texts; equal values have equal keys
	byName map[string]string
}

var noValues = &sessionValues{}

// with returns v with one value set.
func (v *sessionValues) with(name, text string) *sessionValues {
	if old, ok := v.byName[name]; ok && old == text {
		return v
	}
	byName := maps.Clone(v.byName)
	if byName == nil {
		byName = map[string]string{}
	}
	byName[name] = text
	var key strings.Builder
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		key.WriteString(name)
		key.WriteByte(0)
		key.WriteString(byName[name])
		key.WriteByte(0)
	}
	return &sessionValues{key: key.String(), byName: byName}
}

// equal reports whether v and w contain the same values.
func (v *sessionValues) equal(w *sessionValues) bool { return v == w || v.key == w.key }

// canBecome reports whether v can be turned into w by setting values only: every name in v
// is also set in w. No statement unsets a single value.
func (v *sessionValues) canBecome(w *sessionValues) bool {
	for name := range v.byName {
		if _, ok := w.byName[name]; !ok {
			return false
		}
	}
	return true
}

// differences returns the sorted names of w whose value is not set in v or differs there.
func (v *sessionValues) differences(w *sessionValues) []string {
	if v.equal(w) {
		return nil
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(w.byName)) {
		if text, ok := v.byName[name]; !ok || text != w.byName[name] {
			names = append(names, name)
		}
	}
	return names
}
