package crashdisk

import (
	"bytes"
	"maps"
	"slices"
)

// PowerLoss simulates a loss of power: it chooses which unsynced changes survive, and
// restores the power.
func (d *Disk) PowerLoss() {
	loseUnsynced := d.Choose(4) == 0 // lose all unsynced changes
	for _, path := range slices.Sorted(maps.Keys(d.unsyncedNames)) {
		states := d.unsyncedNames[path]
		kept := states[0]
		if !loseUnsynced {
			kept = states[d.Choose(len(states))]
		}
		delete(d.files, path)
		if kept != nil {
			d.files[path] = kept
		}
	}
	for _, path := range slices.Sorted(maps.Keys(d.files)) {
		content := d.files[path]
		remaining := bytes.Clone(content.synced)
		for _, w := range content.writes {
			if !loseUnsynced {
				remaining = d.applyTorn(remaining, w)
			}
		}
		d.files[path] = &fileContent{synced: remaining}
	}
	clear(d.unsyncedNames)
	d.CallsUntilPowerLoss = -1
}

// Possible results of a loss of power for an unsynced write, as selected by Choose.
const (
	writeKept = iota
	writeLost
	writeTorn
	writeTornLengthKept // the file's new length is kept, with zeros after the torn data
	writeOutcomeCount   // number of possible results
)

// applyTorn returns the content with the surviving part of a write applied: all of it,
// nothing, a part of the data, or a part of the data and the file's new length.
func (d *Disk) applyTorn(content []byte, w write) []byte {
	outcome := d.Choose(writeOutcomeCount)
	switch {
	case outcome == writeKept:
		return w.applyTo(content)
	case outcome == writeLost || w.truncate || len(w.data) == 0:
		return content
	}
	length := 0
	if d.CoarseTornWrites {
		length = []int{1, len(w.data) / 2, len(w.data) - 1}[d.Choose(3)]
	} else {
		length = d.Choose(len(w.data) + 1)
	}
	if length > 0 {
		content = write{offset: w.offset, data: w.data[:length]}.applyTo(content)
	}
	if outcome == writeTornLengthKept {
		content = write{offset: w.offset + len(w.data)}.applyTo(content)
	}
	return content
}
