package simulation

import (
	"fmt"

	"stoneford/emulator/checker"
	"stoneford/emulator/databasereplica"
	"stoneford/internal/control"
	"stoneford/result"
)

// Finish halts the callers, mends everything, lets the fleet settle and holds
// what callers were told against what the groups hold.
func (f *Fleet) Finish() checker.Verdict {
	f.Halt()
	f.Heal()
	f.waitUntilStable()
	logs := map[string][]databasereplica.LogEntry{}
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		if p == nil {
			f.Violation("%s has no primary 20 s after everything was mended", g)
			continue
		}
		logs[f.owner[g]+"/"+f.route(g)] = p.state.Log(0)
	}
	f.ReadBack()
	for _, p := range f.Partners() {
		for _, n := range f.Nodes {
			if r := n.core.AppliedRevisions()[control.ConfigurationKeyPrefix+p]; n.up && f.Now-int64(n.run) > maxConfigurationUs && r < f.Oracle.accepted[p].Revision {
				f.Violation("%s works by revision %d of %s, and %d was accepted long ago", n.boot.Name, r, p, f.Oracle.accepted[p].Revision)
			}
		}
	}
	return f.Oracle.Check(logs)
}

// waitUntilStable lets the mended fleet come to rest, for 20 s at the most: every caller
// has its return, every group a primary with two level replicas, every node the
// newest configurations.
func (f *Fleet) waitUntilStable() {
	end := f.Now + 20_000_000
	f.Run(f.Now + 3_000_000)
	for f.Now < end && !f.isAtRest() {
		f.Run(f.Now + 500_000)
	}
}

func (f *Fleet) isAtRest() bool {
	for _, g := range f.Plan.Groups {
		if !f.groupHasRedundancy(g) {
			return false
		}
	}
	for p, r := range f.Oracle.accepted {
		if f.ConfigurationInForce(p) < r.Revision {
			return false
		}
	}
	return f.waiting == 0 && f.controlsHealthy()
}

// ReadBack reads every partner's configuration and holds it against the newest
// that was told accepted.
func (f *Fleet) ReadBack() {
	read, cs := map[string]bool{}, []*controlProcess{}
	for _, c := range f.Controls {
		if c.up && !c.paused {
			cs = append(cs, c)
		}
	}
	for i, p := range f.Partners() {
		was := f.Oracle.accepted[p]
		var try func()
		try = func() {
			f.Operate(cs[(i+len(read))%len(cs)], func(id uint64) control.Event { return control.GetConfiguration{ID: id, Partner: p} }, func(r control.ConfigurationResult) {
				switch {
				case r.Code != result.OK:
					f.After(300_000, try)
				case r.Revision < was.Revision || r.Revision == was.Revision && string(r.Text) != string(was.Text):
					f.Violation("%s reads back revision %d, and %d was told accepted", p, r.Revision, was.Revision)
					fallthrough
				default:
					read[p] = true
				}
			})
		}
		try()
	}
	for end := f.Now + 12_000_000; f.Now < end && len(read) < len(f.texts); {
		f.Run(f.Now + 100_000)
	}
	for _, p := range f.Partners() {
		if !read[p] {
			f.Violation("the configuration of %s could not be read back", p)
		}
	}
}

// CheckEndOfDay brings one last fault about just as a configuration is accepted, then
// every control process is started cold and the configuration read back.
func (f *Fleet) CheckEndOfDay() {
	f.Halt()
	f.Heal()
	f.Run(f.Now + 12_000_000)
	p := f.Partners()[f.Random.IntN(len(f.texts))]
	ci, kind, done := f.Random.IntN(3), f.Random.IntN(5), false
	base := f.Oracle.accepted[p].Revision
	f.Operate(f.Controls[f.Random.IntN(3)], func(id uint64) control.Event {
		return control.PutConfiguration{ID: id, Partner: p, Base: base, Patch: true, Text: fmt.Appendf(nil, `{"time_zone":"Etc/GMT+%d"}`, f.Random.IntN(12))}
	}, func(r control.ConfigurationResult) {
		done = true
		if r.Code == result.OK {
			f.Oracle.configured(p, r)
		}
		f.logf("the day's last configuration is told %d, revision %d", r.Code, r.Revision)
		switch kind {
		case 0, 1:
			f.KillControl(ci)
		case 2:
			f.PauseControl(ci)
		case 3:
			f.Isolate(f.Controls[ci].boot.Listen, f.Chance(0.5))
		}
	})
	f.Run(f.Now + 5_000_000)
	if !done {
		f.Violation("the day's last configuration had no return")
	}
	for i := range f.Controls {
		f.KillControl(i)
	}
	f.Network.Repair()
	f.Run(f.Now + 500_000)
	for i := range f.Controls {
		if i == ci && kind == 1 {
			f.LoseDisk(i)
		}
		if i != ci || kind > 0 {
			f.StartControl(i)
		}
	}
	f.ReadBack()
}
