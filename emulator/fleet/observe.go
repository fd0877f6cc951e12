package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"stoneford/emulator/callers"
	"stoneford/emulator/databasereplica"
	"stoneford/internal/control"
	"stoneford/internal/operators"
)

// Retry calls f until it succeeds, the timeout has passed or the context ends, and returns
// the last error of f, joined with the error of the context if that ended.
func Retry(ctx context.Context, timeout time.Duration, f func() error) error {
	end := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return errors.Join(err, ctx.Err())
		case <-t.C:
		}
	}
}

// OperatorClient returns a client for a partner's operators.
func (f *Fleet) OperatorClient(partner string) operators.Client {
	return operators.Client{Addresses: f.operatorAddresses, Token: OperatorToken(partner)}
}

// ReadyNodes returns the addresses of the ready pool nodes from the platform, or none if
// the platform does not respond.
func (f *Fleet) ReadyNodes() []string {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + f.platformAddress + "/v1/nodes")
	if err != nil {
		return nil
	}
	defer r.Body.Close()
	var nodes []string
	if json.NewDecoder(r.Body).Decode(&nodes) != nil {
		return nil
	}
	return nodes
}

// CheckReady returns an error unless a process reports that it is ready.
func (f *Fleet) CheckReady(ctx context.Context, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.processes[name].httpAddress+"/v1/ready", nil)
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready: got HTTP status %d, want %d", name, r.StatusCode, http.StatusOK)
	}
	return nil
}

// Primary returns the current primary of a group, or an empty string if it is not known.
func (f *Fleet) Primary(ctx context.Context, group string) string {
	s, err := f.OperatorClient(f.Shape.Partners[0].Partner).Status(ctx)
	if err != nil {
		return ""
	}
	i := slices.IndexFunc(s.Groups, func(g control.GroupStatus) bool { return g.Name == f.Shape.partnerOf(group)+"/"+group })
	if i < 0 {
		return ""
	}
	return s.Groups[i].Primary
}

// PrimaryLogs returns the log of each group's primary, by PARTNER/GROUP.
func (f *Fleet) PrimaryLogs(ctx context.Context) (map[string][]databasereplica.LogEntry, error) {
	out := map[string][]databasereplica.LogEntry{}
	for _, k := range f.Shape.groups() {
		_, g, _ := strings.Cut(k, "/")
		err := Retry(ctx, 20*time.Second, func() error {
			p := f.Primary(ctx, g)
			if p == "" {
				return fmt.Errorf("%s has no primary", g)
			}
			r, err := http.Get("http://" + f.processes[p].httpAddress + "/truth/log")
			if err != nil {
				return err
			}
			defer r.Body.Close()
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return err
			}
			var entries []databasereplica.LogEntry
			out[k] = entries
			if err := json.Unmarshal(b, &entries); err != nil {
				return err
			}
			out[k] = entries
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// Crashed describes the processes that exited although no fault ended them.
func (f *Fleet) Crashed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashed)
}

// zoneOf returns the zone of the pool node with an address for callers.
func (f *Fleet) zoneOf(node string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[node]
}

// CPUTimes returns the processor time that stoneford's running processes have used, by kind.
func (f *Fleet) CPUTimes() map[string]time.Duration {
	m := map[string]time.Duration{}
	for _, n := range f.order {
		p := f.processes[n]
		p.mu.Lock()
		c := p.cmd
		p.mu.Unlock()
		if c == nil || !strings.HasPrefix(p.kind, "stoneford-") {
			continue
		}
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.Process.Pid))
		if err != nil {
			continue // the process has just exited
		}
		fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		for _, t := range fields[11:13] { // user and system time, in hundredths of a second
			if v, err := strconv.ParseInt(t, 10, 64); err == nil {
				m[p.kind] += time.Duration(v) * 10 * time.Millisecond
			}
		}
	}
	return m
}

// Counters holds counts of pool nodes: queries, status polls and sent envelopes.
type Counters struct{ Queries, StatusPolls, EnvelopesSent float64 }

// poolCounts is the part of a pool node's counts that Counters reads.
type poolCounts struct {
	Groups map[string]struct {
		Counts struct {
			Queries float64 `json:"Queries"`
			Polls   float64 `json:"Polls"`
		} `json:"Counts"`
	} `json:"groups"`
	Links map[string]float64 `json:"links"`
}

// Counters returns the sums of the counts of all pool nodes that respond.
func (f *Fleet) Counters(ctx context.Context) (c Counters) {
	for _, n := range f.order {
		p := f.processes[n]
		if p.kind != "stoneford-pool" {
			continue
		}
		var v poolCounts
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.httpAddress+"/v1/counts", nil)
		if err != nil {
			continue
		}
		r, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		err = json.NewDecoder(r.Body).Decode(&v)
		r.Body.Close()
		if err != nil {
			continue
		}
		for _, g := range v.Groups {
			c.Queries, c.StatusPolls = c.Queries+g.Counts.Queries, c.StatusPolls+g.Counts.Polls
		}
		c.EnvelopesSent += v.Links["sent"]
	}
	return c
}

// NewCallers creates the callers of a load. The faults crowd and move act on them.
func (f *Fleet) NewCallers(b callers.Load) *callers.Runner {
	f.load = callers.New(b)
	return f.load
}

// WriteDeployment writes the addresses, tokens and routes that operators and callers need
// to use the fleet.
func (f *Fleet) WriteDeployment(w io.Writer) {
	var tokens []string
	for _, p := range f.Shape.Partners {
		tokens = append(tokens, OperatorToken(p.Partner))
	}
	fmt.Fprintf(w, "control (operators): %s\ntokens: %s\nnodes (callers): %s\nroutes: %s\nfolder: %s\n",
		strings.Join(f.operatorAddresses, " "), strings.Join(tokens, " "), strings.Join(f.ReadyNodes(), " "), strings.Join(f.Shape.groups(), " "), f.folder)
}
