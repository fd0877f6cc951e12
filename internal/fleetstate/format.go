package fleetstate

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"stoneford/internal/ports"
)

// tableWriter writes text tables with aligned columns.
type tableWriter struct{ *tabwriter.Writer }

func newTableWriter(w io.Writer) tableWriter {
	return tableWriter{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
}

// writeRow writes one row; an empty cell is shown as "-".
func (t tableWriter) writeRow(cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		if s := fmt.Sprint(c); s != "" {
			fmt.Fprint(t, s)
		} else {
			fmt.Fprint(t, "-")
		}
	}
	fmt.Fprintln(t)
}

// formatDuration formats a duration in microseconds, rounded for readers. A negative
// duration stands for something that never happened.
func formatDuration(us int64) string {
	if us < 0 {
		return "never"
	}
	d := time.Duration(us) * time.Microsecond
	switch {
	case d < time.Second:
		return d.Round(time.Millisecond).String()
	case d < time.Minute:
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// formatRemaining formats the remaining time of a lease.
func formatRemaining(us int64) string {
	if us <= 0 {
		return "run out"
	}
	return formatDuration(us)
}

// formatPosition formats a position; the zero position gives "".
func formatPosition(p ports.Position) string {
	if !p.Known() {
		return ""
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Number)
}

// textIf returns the text if the condition holds, and "" otherwise.
func textIf(b bool, text string) string { return lo.Ternary(b, text, "") }

// shortChangeName returns the first and thus newest of the names of changes, shortened if
// it is a hash.
func shortChangeName(names []string) string {
	if len(names) == 0 {
		return ""
	}
	n := names[0]
	if !strings.Contains(n, "#") && len(n) > 12 {
		n = n[:12]
	}
	return n
}
