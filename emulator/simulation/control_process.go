package simulation

import (
	"stoneford/emulator/databasereplica"
	"stoneford/failover/sealed"
	"stoneford/internal/control"
	"stoneford/schema"
)

// controlProcess is a simulated control process with its disk.
type controlProcess struct {
	boot     *schema.Boot
	core     *control.Core
	disk     []*schema.WALEntry // synced log
	unsynced []*schema.WALEntry // log entries of the current step, while they are synced
	syncUs   int64              // mean duration of a disk sync
	draining bool               // a stop request was sent
	processState
}

// controlTickUs is the interval at which control processes step without events.
const controlTickUs = 20_000

// startControl starts a control process and restores its state from the log entries on disk.
func (f *Fleet) startControl(c *controlProcess) {
	c.begin()
	c.unsynced, c.syncUs, c.draining = nil, 0, false
	c.core = control.NewCore(c.boot, f.runNumber(), f.Random.Uint64()|1)
	for _, l := range c.disk {
		c.core.Restore(l)
	}
	f.startTicks(&c.processState, controlTickUs, func() { f.stepControl(c, control.WallClock{UnixMicro: f.Now}) })
}

// stepControl runs one step. The step's messages are sent, and the next step begins, only
// after the step's log entries are synced.
func (f *Fleet) stepControl(c *controlProcess, events ...control.Event) {
	effects := c.core.Step(f.Now, events...)
	if c.syncUs == 0 || len(effects.Log) == 0 {
		f.afterSync(c, effects)
		return
	}
	syncDurationUs := f.Between(c.syncUs/2, c.syncUs*3/2)
	c.busyUntilUs, c.unsynced = f.Now+syncDurationUs, effects.Log
	generation := c.generation
	var synced func()
	synced = func() {
		switch {
		case !c.up || c.generation != generation:
		case c.frozen:
			c.pending = append(c.pending, synced)
		default:
			c.unsynced = nil
			f.afterSync(c, effects)
		}
	}
	f.After(syncDurationUs, synced)
}

// maxDiskEntries limits the log on a control process's disk; a longer log is replaced by a
// snapshot.
const maxDiskEntries = 300

// afterSync writes the step's log entries to the disk and performs its effects.
func (f *Fleet) afterSync(c *controlProcess, effects control.Effects) {
	c.disk = append(c.disk, effects.Log...)
	if len(c.disk) > maxDiskEntries {
		c.disk = []*schema.WALEntry{c.core.Snapshot()}
	}
	for _, s := range effects.Send {
		f.Network.Send(c.boot.Listen, s)
	}
	for _, d := range effects.Do {
		f.observeControl(c, d)
		f.performControl(c, d)
	}
}

// performControl carries out one effect of a control process: it passes a result to the
// operator who waits for it, calls a database, sends a request to the platform, or writes an
// entry to the simulation's log.
func (f *Fleet) performControl(c *controlProcess, effect control.Effect) {
	switch d := effect.(type) {
	case control.ConfigurationResult:
		if done := f.pendingConfigurationResults[d.ID]; done != nil {
			delete(f.pendingConfigurationResults, d.ID)
			done(d)
		}
	case control.CommandResult:
		if done := f.pendingCommandResults[d.ID]; done != nil {
			delete(f.pendingCommandResults, d.ID)
			done(d)
		}
	case control.DatabaseCall:
		f.callDatabase(c, d)
	case control.FailoverRequest:
		f.performFailover(d)
	case control.ReplaceDatabase:
		f.replaceDatabase(d)
	case control.StopMachine:
		f.stopMachine(d)
	case control.LogEntry:
		f.logf("%s: code %d: %s", c.boot.Name, d.Code, d.Text)
	}
}

// toControl delivers an event to a run of a control process. The event waits while the
// process is frozen or busy.
func (f *Fleet) toControl(c *controlProcess, generation int, e control.Event) {
	f.dispatch(&c.processState, generation, func() { f.stepControl(c, e) })
}

// SubmitRequest sends an operator's request to a control process. done is called with the
// result, or never if the process ends before it replies.
func (f *Fleet) SubmitRequest(c *controlProcess, request func(id uint64) control.Event, done func(control.ConfigurationResult)) {
	f.lastID++
	id := f.lastID
	f.pendingConfigurationResults[id] = done
	f.toControl(c, c.generation, request(id))
}

// RunOperatorCommand sends a command of the operators' language to a control process. done
// is called with the result, or never if the process ends before it replies.
func (f *Fleet) RunOperatorCommand(c *controlProcess, partner, text string, done func(control.CommandResult)) {
	f.lastID++
	id := f.lastID
	f.pendingCommandResults[id] = done
	f.toControl(c, c.generation, control.Command{ID: id, Partner: partner, Text: text})
}

// databaseCallTimeoutUs is the time limit of a control process's call to a database.
const databaseCallTimeoutUs = 500_000

// callDatabase polls a database for its status, and seals it first if the call asks for
// that.
func (f *Fleet) callDatabase(c *controlProcess, d control.DatabaseCall) {
	generation := c.generation
	f.call(c.boot.Listen, d.Address, databaseCallTimeoutUs, func(db *Database, reply func(any)) {
		if d.SealEpoch > 0 && f.Plan.Mutation == UnsealedFailover {
			s := db.state.Status()
			s.Epoch, s.Role = d.SealEpoch, "sealed"
			reply(s)
			return
		}
		if d.SealEpoch > 0 {
			db.state.Seal(d.SealEpoch)
			db.notifyWaiters()
		}
		reply(db.state.Status())
	}, func(response any, _ bool) {
		s, ok := response.(databasereplica.Status)
		f.toControl(c, generation, control.DatabaseReply{Group: d.Group, ID: d.ID, Failed: !ok, Status: sealed.Status{Identity: s.Identity, Role: s.Role,
			Epoch: s.Epoch, LogEpoch: s.LogEpoch, Received: s.Received, Applied: s.Applied, Following: s.Following, Draining: s.Draining}})
	})
}

// PutConfiguration sends the configurations of all partners, and retries until they are
// accepted. done, if not nil, is called once for each partner.
func (f *Fleet) PutConfiguration(done func()) {
	for _, p := range f.Partners() {
		f.putConfiguration(p, done)
	}
}

// configurationRetryUs is the time after which operators retry a first configuration.
const configurationRetryUs = 200_000

func (f *Fleet) putConfiguration(partner string, done func()) {
	text := f.configurationTexts[partner]
	var attempt func()
	attempt = func() {
		c := f.Controls[f.Random.IntN(controlCount)]
		if !c.up {
			f.After(configurationRetryUs, attempt)
			return
		}
		f.SubmitRequest(c, func(id uint64) control.Event { return control.PutConfiguration{ID: id, Partner: partner, Text: text} }, func(r control.ConfigurationResult) {
			if r.Revision == 0 {
				f.After(configurationRetryUs, attempt)
				return
			}
			f.Oracle.configurationAccepted(partner, r)
			if done != nil {
				done()
			}
		})
	}
	attempt()
}
