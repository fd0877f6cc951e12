package behaviourhash

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Load reads the rows of a file.
func Load(file string) ([]Row, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var rows []Row
	if err := json.Unmarshal(b, &rows); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return rows, nil
}

// Save writes the rows to a file, one line each.
func Save(file string, rows []Row) error {
	var b bytes.Buffer
	b.WriteString("[")
	for i, row := range rows {
		line, err := json.Marshal(row)
		if err != nil {
			return err
		}
		if i > 0 {
			b.WriteString(",")
		}
		b.WriteString("\n")
		b.Write(line)
	}
	b.WriteString("\n]\n")
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o644)
}

// Differences describes each row of a run that differs from the recorded row of the same
// seed and number of control processes, or that has no recorded row.
func Differences(recorded, run []Row) []string {
	type key struct {
		seed     uint64
		controls int
	}
	old := map[key]Row{}
	for _, row := range recorded {
		old[key{row.Seed, row.Controls}] = row
	}
	var differences []string
	for _, row := range run {
		recordedRow, ok := old[key{row.Seed, row.Controls}]
		switch {
		case !ok:
			differences = append(differences, fmt.Sprintf("seed %d with %d control processes is not recorded; it ran as %s", row.Seed, row.Controls, row.summary()))
		case recordedRow != row:
			differences = append(differences, fmt.Sprintf("seed %d with %d control processes:\n  recorded %s\n  now      %s", row.Seed, row.Controls, recordedRow.summary(), row.summary()))
		}
	}
	return differences
}

func (r Row) summary() string {
	return fmt.Sprintf("%s (%d envelopes, %d calls, %d answers)", r.Hash, r.Envelopes, r.Calls, r.Answers)
}
