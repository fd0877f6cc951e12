package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"stoneford/internal/coordinator"
	"stoneford/result"
)

// requestMove calls the control processes' HTTP interface in turn, until one responds, and
// returns the response.
func (w *siteMove) requestMove(ctx context.Context, method string, in any) (coordinator.MoveReply, error) {
	var failures error
	for _, c := range w.controls {
		at, _ := c.boot.StateAddress(c.boot.PortFirst)
		b, err := json.Marshal(in)
		if err != nil {
			return coordinator.MoveReply{}, err
		}
		callCtx, stop := context.WithTimeout(ctx, 2*time.Second)
		request, err := http.NewRequestWithContext(callCtx, method, "http://"+at+coordinator.MovesPath, bytes.NewReader(b))
		if err != nil {
			stop()
			return coordinator.MoveReply{}, err
		}
		response, err := http.DefaultClient.Do(request)
		var m coordinator.MoveReply
		if err == nil {
			err = json.NewDecoder(response.Body).Decode(&m)
			response.Body.Close()
		}
		stop()
		if err == nil {
			return m, nil
		}
		failures = errors.Join(failures, err)
	}
	return coordinator.MoveReply{}, failures
}

// move moves the group to a site and waits until the move is complete. During the second
// move the links of a node are partitioned, and during the third a control process is
// killed.
func (w *siteMove) move(ctx context.Context, i int, to string) (moveResult, error) {
	m := moveResult{To: to}
	repaired := make(chan struct{})
	switch i {
	case 1:
		m.With = "the links of pool-6 cut"
		w.nodes[5].PartitionLinks(true)
		time.AfterFunc(w.options.PartitionDuration, func() { w.nodes[5].PartitionLinks(false); close(repaired) })
	default:
		close(repaired)
	}
	began := time.Now()
	if err := w.until(ctx, "the move to "+to+" was taken", func() bool { return w.submit(ctx, &m) }); err != nil {
		return m, err
	}
	m.StagedMs = time.Since(began).Milliseconds()
	if i == 2 {
		m.With = "control-2 killed"
		w.controls[1].kill()
	}
	if err := w.awaitSwitched(ctx, &m, began); err != nil {
		return m, err
	}
	at := ""
	if at, m.Term = w.group.primarySite(); at != to {
		return m, fmt.Errorf("switched to %s, and the primary is at %q", to, at)
	}
	if i == 2 {
		if err := w.controls[1].restart(); err != nil {
			return m, err
		}
	}
	rest := time.After(w.options.RestAfterMove)
	<-repaired
	<-rest
	w.mu.Lock()
	m.OutageMs = longestGap(w.acknowledgedAt, began).Milliseconds()
	w.mu.Unlock()
	return m, nil
}

// submit requests a move, and reports whether it was accepted.
func (w *siteMove) submit(ctx context.Context, m *moveResult) bool {
	r, err := w.requestMove(ctx, http.MethodPost, coordinator.MoveRequest{Group: group, Site: m.To})
	m.Table = r.TableRevision
	return err == nil && r.Code == result.OK
}

// awaitSwitched waits until the move has reached the phase "switched". A failed move leaves
// the group at its previous site; awaitSwitched then requests the move again, as an
// operator would.
func (w *siteMove) awaitSwitched(ctx context.Context, m *moveResult, began time.Time) error {
	var seen coordinator.MoveReply
	err := w.until(ctx, "the move to "+m.To+" was switched", func() bool {
		r, err := w.requestMove(ctx, http.MethodGet, nil)
		seen = r
		if err != nil || len(r.Moves) != 1 || r.Moves[0].TableRevision != m.Table {
			return false
		}
		ms := time.Since(began).Milliseconds()
		switch r.Moves[0].Phase {
		case "agreed":
			if m.AgreedMs == 0 {
				m.AgreedMs = ms
			}
		case "switched":
			m.SwitchedMs = ms
		case "failed":
			m.Failed = append(m.Failed, r.Moves[0].Cause)
			m.AgreedMs = 0
			if a, err := w.requestMove(ctx, http.MethodPost, coordinator.MoveRequest{Group: group, Site: m.To}); err == nil && a.Code == result.OK {
				m.Table = a.TableRevision
			}
		}
		return m.SwitchedMs > 0
	})
	if err != nil {
		return fmt.Errorf("%w; asked for by table %d, seen %+v", err, m.Table, seen)
	}
	if m.AgreedMs == 0 {
		m.AgreedMs = m.SwitchedMs
	}
	return nil
}

// kill stops a control process. It breaks the process's links first, so that the other
// processes are not notified.
func (c *control) kill() {
	c.process.Load().SetLinksBroken(true)
	c.stop()
}

// restart starts a killed control process again.
func (c *control) restart() error {
	if err := <-c.done; err != nil {
		return err
	}
	return c.start()
}

// primarySite returns the site of the primary of the newest term, and that term. The site
// is empty if the primary has stepped down.
func (s *databaseGroup) primarySite() (site string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.databases {
		if d.primary && d.term == s.newestTerm {
			site = d.zone
		}
	}
	return site, s.newestTerm
}

// longestGap returns the longest time without an acknowledgement between since and now. at
// lists the times of the acknowledgements in order.
func longestGap(at []time.Time, since time.Time) time.Duration {
	var longest time.Duration
	last := since
	for _, t := range at {
		if t.After(since) {
			longest = max(longest, t.Sub(last))
			last = t
		}
	}
	return max(longest, time.Since(last))
}

// check compares the acknowledged confirmations with the newest primary's log, and adds the
// violations to the report.
func (w *siteMove) check(r *report) {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Acknowledged, r.InDoubt = len(w.acknowledged), w.inDoubt
	var p *database
	for _, d := range w.group.databases {
		if d.primary && d.term == w.group.newestTerm {
			p = d
		}
	}
	if p == nil {
		r.Problems = append(r.Problems, "no primary at the end")
		return
	}
	commits := map[string]int{}
	for _, e := range p.log {
		commits[e.text]++
		if w.acknowledged[e.text] && slices.ContainsFunc(r.Moves, func(m moveResult) bool { return m.Term > 0 && e.term >= m.Term && e.table < m.Table }) {
			r.OlderTable++
		}
	}
	for id := range w.acknowledged {
		if commits[id] == 0 {
			r.Lost++
		}
	}
	for _, n := range commits {
		if n > 1 {
			r.Duplicated++
		}
	}
}
