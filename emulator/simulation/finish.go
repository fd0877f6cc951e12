package simulation

import (
	"fmt"

	"stoneford/emulator/checker"
	"stoneford/emulator/databasereplica"
	"stoneford/internal/control"
	"stoneford/result"
)

// Finish halts the callers, ends all faults and waits until the fleet is quiescent. It then
// checks the replies to callers and operators against the contents of the databases and the
// configurations.
func (f *Fleet) Finish() checker.Verdict {
	f.HaltCallers()
	f.Heal()
	f.waitUntilQuiescent()
	logs := map[string][]databasereplica.LogEntry{}
	for _, g := range f.Plan.Groups {
		p := f.Primary(g)
		if p == nil {
			f.RecordViolation("group %s has no primary at the end of the run, up to 20 s after all faults ended", g)
			continue
		}
		logs[f.partnerOf[g]+"/"+f.route(g)] = p.state.LogAfter(0)
	}
	f.ReadBack()
	f.checkAppliedConfigurations()
	return f.Oracle.Check(logs)
}

// checkAppliedConfigurations checks that every node that has been up for maxPropagationUs
// has applied the newest accepted configurations.
func (f *Fleet) checkAppliedConfigurations() {
	for _, p := range f.Partners() {
		accepted := f.Oracle.accepted[p].Revision
		for _, n := range f.Nodes {
			if r := n.core.AppliedRevisions()[control.ConfigurationKeyPrefix+p]; n.up && f.Now-int64(n.run) > maxPropagationUs && r < accepted {
				f.RecordViolation("%s has applied configuration revision %d of %s, but revision %d was accepted", n.boot.Name, r, p, accepted)
			}
		}
	}
}

// Minimum and maximum wait for quiescence at the end of a run, in microseconds.
const (
	minQuiescenceUs = 3_000_000
	maxQuiescenceUs = 20_000_000
)

// waitUntilQuiescent runs the repaired fleet until it is quiescent, or for maxQuiescenceUs.
func (f *Fleet) waitUntilQuiescent() {
	end := f.Now + maxQuiescenceUs
	f.Run(f.Now + minQuiescenceUs)
	for f.Now < end && !f.isQuiescent() {
		f.Run(f.Now + 500_000)
	}
}

// isQuiescent reports whether no request is pending, all control processes are healthy,
// every group has a primary and two replicas that are up to date, and all nodes have
// applied the newest configurations.
func (f *Fleet) isQuiescent() bool {
	for _, g := range f.Plan.Groups {
		if !f.groupHasRedundancy(g) {
			return false
		}
	}
	for p, r := range f.Oracle.accepted {
		if f.MinAppliedRevision(p) < r.Revision {
			return false
		}
	}
	return f.pendingRequests == 0 && f.controlsHealthy()
}

// maxReadBackUs is the time limit for reading back all configurations.
const maxReadBackUs = 12_000_000

// ReadBack reads the configurations of all partners and checks that they are the newest
// accepted ones.
func (f *Fleet) ReadBack() {
	readPartners := map[string]bool{}
	for i, p := range f.Partners() {
		f.readBack(p, i, readPartners)
	}
	for end := f.Now + maxReadBackUs; f.Now < end && len(readPartners) < len(f.configurationTexts); {
		f.Run(f.Now + 100_000)
	}
	for _, p := range f.Partners() {
		if !readPartners[p] {
			f.RecordViolation("the configuration of %s could not be read back within %d us", p, maxReadBackUs)
		}
	}
}

// readBack reads the i-th partner's configuration, retrying on other control processes.
// After a successful read it sets the partner's entry in readPartners.
func (f *Fleet) readBack(partner string, i int, readPartners map[string]bool) {
	var running []*controlProcess
	for _, c := range f.Controls {
		if c.up && !c.frozen {
			running = append(running, c)
		}
	}
	accepted := f.Oracle.accepted[partner]
	var attempt func()
	attempt = func() {
		f.SubmitRequest(running[(i+len(readPartners))%len(running)], func(id uint64) control.Event { return control.GetConfiguration{ID: id, Partner: partner} }, func(r control.ConfigurationResult) {
			if r.Code != result.OK {
				f.After(300_000, attempt)
				return
			}
			if r.Revision < accepted.Revision || r.Revision == accepted.Revision && string(r.Text) != string(accepted.Text) {
				f.RecordViolation("the configuration of %s reads back as revision %d, older than or different from the acknowledged revision %d", partner, r.Revision, accepted.Revision)
			}
			readPartners[partner] = true
		})
	}
	attempt()
}

// CheckEndOfDay checks that accepted configurations survive a restart of all control
// processes. It injects a last fault into one control process when a change of
// configuration is accepted, and kills all control processes. Then it starts them again,
// possibly except for that one or with an empty disk of that one, and reads the
// configurations back.
func (f *Fleet) CheckEndOfDay() {
	f.HaltCallers()
	f.Heal()
	f.Run(f.Now + 12_000_000)
	p := f.Partners()[f.Random.IntN(len(f.configurationTexts))]
	target, kind, done := f.Random.IntN(controlCount), f.Random.IntN(5), false
	base := f.Oracle.accepted[p].Revision
	f.SubmitRequest(f.Controls[f.Random.IntN(controlCount)], func(id uint64) control.Event {
		return control.PutConfiguration{ID: id, Partner: p, BaseRevision: base, Patch: true, Text: fmt.Appendf(nil, `{"time_zone":"Etc/GMT+%d"}`, f.Random.IntN(12))}
	}, func(r control.ConfigurationResult) {
		done = true
		if r.Code == result.OK {
			f.Oracle.configurationAccepted(p, r)
		}
		f.logf("reply to the last configuration change of the day: code %d, revision %d", r.Code, r.Revision)
		f.injectControlFault(target, kind)
	})
	f.Run(f.Now + 5_000_000)
	if !done {
		f.RecordViolation("the last configuration change of the day got no reply within 5 s")
	}
	for i := range f.Controls {
		f.KillControl(i)
	}
	f.Network.Repair()
	f.Run(f.Now + 500_000)
	for i := range f.Controls {
		if i == target && kind == 1 {
			f.LoseDisk(i)
		}
		if i != target || kind > 0 {
			f.StartControl(i)
		}
	}
	f.ReadBack()
}

// injectControlFault kills, freezes or isolates a control process, depending on kind, or
// does nothing.
func (f *Fleet) injectControlFault(i, kind int) {
	switch kind {
	case 0, 1:
		f.KillControl(i)
	case 2:
		f.FreezeControl(i)
	case 3:
		f.Isolate(f.Controls[i].boot.Listen, f.Chance(0.5))
	}
}
