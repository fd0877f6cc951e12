package control

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stoneford/language"
	"stoneford/maintenance"
	"stoneford/paxos"
	"stoneford/result"
	"stoneford/schema"
)

// listWindows replies with the maintenance windows of a day or, if the command names no
// day, with the pending ones.
func (c *Core) listWindows(now int64, s language.Sentence, zone *time.Location, reply replyFunc) {
	matches := func(_, _, _ string) bool { return true }
	if s.Subject.Text != "" {
		var err error
		if matches, err = language.MatchSubject(s.Subject, c.targets()); err != nil {
			reply(result.NotFound, err.Error())
			return
		}
	}
	c.readRegister(now, MaintenanceKey, func(_ int64, o paxos.Outcome) {
		if o.Verdict != paxos.Committed {
			reply(verdictCode(o.Verdict, false), "")
			return
		}
		var windows []*schema.MaintenanceWindow
		for _, w := range maintenance.Decode(o.Value.GetData()).Windows {
			if matches(w.Owner, w.Group, w.Target) && isListed(w, s) {
				windows = append(windows, w)
			}
		}
		reply(result.OK, windowsText(windows, zone), windows...)
	})
}

// isListed reports whether a window begins on the day that a command names or, if it
// names none, whether the window is pending.
func isListed(w *schema.MaintenanceWindow, s language.Sentence) bool {
	if s.From.IsZero() {
		return maintenance.Pending(w)
	}
	return w.AtUs >= s.From.UnixMicro() && w.AtUs < s.Until.UnixMicro()
}

// changeCalendar applies a command to the newest revision of the calendar and proposes
// the result as the next revision.
func (c *Core) changeCalendar(now int64, partner string, s language.Sentence, zone *time.Location, reply replyFunc) {
	var window *schema.MaintenanceWindow
	if s.Verb == language.VerbSchedule {
		target, err := language.Resolve(s.TargetName, c.targets(), s.Kind == maintenance.Stop)
		if err != nil {
			reply(resolveCode(err), err.Error())
			return
		}
		window = newWindow(s, target, partner)
	}
	c.readRegister(now, MaintenanceKey, func(now int64, o paxos.Outcome) {
		if o.Verdict != paxos.Committed {
			reply(result.NoVoterMajority, "")
			return
		}
		calendar, changed, problem := c.applyCommand(now, maintenance.Decode(o.Value.GetData()), window, partner, s)
		if problem != nil {
			reply(problem.Code, problem.Text)
			return
		}
		c.proposeCalendar(now, o.Value.GetRevision(), calendar, func(_ int64, o paxos.Outcome) {
			if o.Verdict != paxos.Committed {
				reply(verdictCode(o.Verdict, true), "")
				return
			}
			reply(result.OK, windowsText([]*schema.MaintenanceWindow{changed}, zone), changed)
		})
	})
}

// resolveCode returns the result code for a name that does not resolve to exactly one
// target.
func resolveCode(err error) result.Code {
	var languageErr *language.Error
	if errors.As(err, &languageErr) && languageErr.Ambiguous {
		return result.Ambiguous
	}
	return result.NotFound
}

func newWindow(s language.Sentence, target language.Target, proposedBy string) *schema.MaintenanceWindow {
	w := &schema.MaintenanceWindow{
		Kind:       s.Kind,
		Target:     target.Partner + "/" + target.Name,
		Group:      target.Group,
		Owner:      target.Partner,
		ProposedBy: proposedBy,
		AtUs:       s.At.UnixMicro(),
	}
	if target.Machine {
		w.Target = target.Name
	}
	return w
}

// applyCommand returns the calendar with a command applied and the window that the
// command changed, or the problem for which the command is rejected.
func (c *Core) applyCommand(now int64, calendar *schema.MaintenanceCalendar, window *schema.MaintenanceWindow, partner string, s language.Sentence) (*schema.MaintenanceCalendar, *schema.MaintenanceWindow, *maintenance.Problem) {
	wall := c.maintenance.clock.at(now)
	switch s.Verb {
	case language.VerbSchedule:
		return maintenance.Propose(calendar, window, wall, c.fleet())
	case language.VerbConfirm:
		return maintenance.Confirm(calendar, s.WindowID, partner, wall, c.fleet())
	case language.VerbCancel:
		return maintenance.Cancel(calendar, s.WindowID, partner)
	case language.VerbMove:
		return maintenance.Move(calendar, s.WindowID, partner, s.At.UnixMicro(), wall, c.fleet())
	}
	return nil, nil, nil
}

// fleet returns the properties of the fleet that calendar changes are checked against.
func (c *Core) fleet() maintenance.Fleet {
	machines := 0
	for _, n := range c.nodes {
		if n.Kind == poolNode {
			machines++
		}
	}
	return maintenance.Fleet{Machines: machines}
}

func (c *Core) proposeCalendar(now int64, base uint64, calendar *schema.MaintenanceCalendar, done outcomeFunc) {
	data, err := proto.Marshal(calendar)
	if err != nil {
		panic(err)
	}
	c.proposeValue(now, MaintenanceKey, base, data, done)
}

func windowsText(windows []*schema.MaintenanceWindow, zone *time.Location) string {
	if len(windows) == 0 {
		return "nothing is booked"
	}
	var lines []string
	for _, w := range windows {
		lines = append(lines, windowText(w, zone))
	}
	return strings.Join(lines, "\n")
}

func windowText(w *schema.MaintenanceWindow, zone *time.Location) string {
	text := fmt.Sprintf("booking %d: %s of %s at %s, %s", w.Id, w.Kind, w.Target, time.UnixMicro(w.AtUs).In(zone).Format("2006-01-02 15:04 MST"), w.State)
	if w.State == maintenance.Proposed {
		text += " by " + w.ProposedBy + ", to be confirmed by " + w.Owner
	}
	if w.Detail != "" {
		text += " (" + w.Detail + ")"
	}
	return text
}
