package sessiontable

import (
	"fmt"
	"maps"
	"testing"

	"stoneford/internal/ports"
)

// open has a new caller come.
func (env *environment) open() {
	env.lastSession++
	c := &client{session: env.lastSession, host: env.routes[env.rand.IntN(len(env.routes))].Host, values: map[string]string{}, prepared: map[string]shapeKey{}}
	env.clients[c.session] = c
	env.step(SessionOpened{Session: c.session, Host: c.host})
}

func (env *environment) route(host string) ports.Route {
	for _, r := range env.routes {
		if r.Host == host {
			return r
		}
	}
	return ports.Route{}
}

// sendStatement has a caller send a statement.
func (env *environment) sendStatement(c *client, k ports.StatementKind, name, text string, writes bool) string {
	env.ids++
	id := fmt.Sprintf("s%d", env.ids)
	c.statementID, c.kind, c.onDone = id, k, nil
	expected := &oracle{client: c, kind: k, tx: c.tx, at: env.now, values: maps.Clone(c.values), route: env.route(c.host), floor: c.floor}
	switch {
	case k == ports.Begin || k == ports.BeginRead:
		c.onDone = func() { c.tx, c.txAt, c.writes, c.readOnly = id, expected.at, nil, k == ports.BeginRead }
	case c.tx != "":
		expected.at = c.txAt
		expected.floor = env.oracles[c.tx].floor
	}
	switch k {
	case ports.SetValue:
		c.onDone = func() { c.values[name] = text }
	case ports.Prepare:
		c.onDone = func() { c.prepared[name] = shapeKey{writes, text} }
	case ports.Deallocate:
		c.onDone = func() { delete(c.prepared, name) }
	case ports.Execute:
		expected.shape = c.prepared[name]
	}
	env.oracles[id] = expected
	if k == ports.Write || k == ports.Execute && expected.shape.writes {
		c.writes = append(c.writes, id)
	}
	env.step(StatementReceived{Session: c.session, Statement: ports.Statement{ID: id, Kind: k, Name: name, Text: text, Writes: writes}})
	return id
}

// next has a caller do something.
func (env *environment) act(c *client) {
	if c.closed || c.statementID != "" {
		return
	}
	if env.odds(150) {
		c.closed = true
		delete(env.clients, c.session)
		env.step(SessionClosed{Session: c.session})
		return
	}
	n := fmt.Sprintf("n%d", env.rand.IntN(3))
	read := func() {
		switch {
		case env.odds(3) && c.prepared[n].text != "" && !c.prepared[n].writes:
			env.sendStatement(c, ports.Execute, n, "", false)
		default:
			env.sendStatement(c, ports.Read, "", "k", false)
		}
	}
	write := func() {
		switch {
		case env.odds(3) && c.prepared[n].text != "" && c.prepared[n].writes:
			env.sendStatement(c, ports.Execute, n, "", false)
		default:
			env.sendStatement(c, ports.Write, "", "k", false)
		}
	}
	if c.state == ports.TransactionFailed {
		env.sendStatement(c, []ports.StatementKind{ports.Rollback, ports.Commit, ports.Read}[env.rand.IntN(3)], "", "", false)
		return
	}
	switch env.rand.IntN(12) {
	case 0:
		env.sendStatement(c, ports.SetValue, n, fmt.Sprintf("v%d", env.rand.IntN(3)), false)
		return
	case 1:
		env.sendStatement(c, ports.Prepare, n, fmt.Sprintf("q%d", env.rand.IntN(4)), env.odds(2))
		return
	}
	if c.tx != "" {
		switch env.rand.IntN(6) {
		case 0:
			env.sendStatement(c, ports.Commit, "", "", false)
		case 1:
			if env.odds(3) {
				env.sendStatement(c, ports.Rollback, "", "", false)
			} else {
				env.sendStatement(c, ports.Commit, "", "", false)
			}
		case 2, 3:
			if !c.readOnly {
				write()
				return
			}
			read()
		default:
			read()
		}
		return
	}
	switch env.rand.IntN(8) {
	case 0, 1:
		env.sendStatement(c, ports.Begin, "", "", false)
	case 2:
		env.sendStatement(c, ports.BeginRead, "", "", false)
	case 3, 4:
		write()
	default:
		read()
	}
}

// reply holds what a caller is told to what is known of the databases.
func (env *environment) reply(e Reply) {
	c := env.clients[e.Session]
	if c == nil {
		env.fatal("a reply to session %d, which is none: %+v", e.Session, e)
	}
	if e.Close {
		defer func() {
			c.closed = true
			delete(env.clients, e.Session)
		}()
	}
	again := func() { env.after(env.between(500, 60_000), func() { env.act(c) }) }
	if c.statementID == "" {
		c.state = ports.Idle
		again()
		return
	}
	id := c.statementID
	c.statementID = ""
	expected := env.oracles[id]
	expected.answered, expected.code = true, e.Code
	env.codes[e.Code]++
	env.logf("session %d: %s kind %d ends %d state %d %s", e.Session, id, expected.kind, e.Code, e.State, e.Text)
	if expected.route.TimeoutUs > 0 && env.now > expected.at+expected.route.TimeoutUs+1 && expected.tx == "" {
		env.fatal("%s ends past its expiry", id)
	}
	was := c.state
	c.state = e.State
	if e.Code == ports.Done && c.onDone != nil {
		c.onDone()
	}
	wrote := expected.kind == ports.Write || expected.kind == ports.Execute && expected.shape.writes
	if expected.tx == "" && wrote || expected.kind == ports.Commit {
		ids := c.writes
		c.writes = nil
		for _, x := range ids {
			switch ran := env.oracles[x].ran; {
			case e.Code == ports.Done && ran != 1:
				env.fatal("%s is told done and took effect %d times", x, ran)
			case e.Code.NoEffect() && ran != 0:
				env.fatal("%s is told that nothing is kept, and it is", x)
			case e.Code.NoEffect():
				env.oracles[x].nothingCommitted = true
			}
		}
		if e.Code == ports.Done && len(ids) > 0 {
			pos := env.posOf(ids[0])
			env.recordAcknowledged(pos)
			if c.floor.Before(pos) {
				c.floor = pos
			}
		}
	}
	if expected.tx != "" && expected.kind != ports.Commit && expected.kind != ports.Rollback && e.Code != ports.Done {
		if e.State != ports.TransactionFailed {
			env.fatal("%s failed inside a transaction and the state is %d", id, e.State)
		}
		if e.Code.NoEffect() {
			for _, x := range c.writes {
				env.oracles[x].nothingCommitted = true
			}
		}
	}
	if e.State == ports.Idle && expected.tx != "" {
		c.tx, c.writes = "", nil
	}
	if expected.tx == "" && e.State != ports.Idle && expected.kind != ports.Begin && expected.kind != ports.BeginRead || was == ports.TransactionFailed && e.Code == ports.Done && e.State != ports.Idle {
		env.fatal("%s leaves state %d behind %d", id, e.State, was)
	}
	if expected.tx == "" {
		if wrote {
			c.writes = nil
		}
	}
	again()
}

func (env *environment) posOf(id string) ports.Position {
	for _, db := range env.dbs {
		for i := len(db.log) - 1; i >= 0; i-- {
			for _, x := range db.log[i].ids {
				if x == id {
					return db.log[i].position
				}
			}
		}
	}
	env.fatal("%s was told done and stands in no log", id)
	return ports.Position{}
}

// start brings a world up.
func (env *environment) start(callers int) {
	env.step(Update{Table: &ports.RoutingTable{Revision: 1, Routes: env.routes, Groups: []ports.Group{{Name: "g", ConnectionLimit: 65, RequiredReplicaAcks: 1}}, Limits: ports.Limits{TransactionIdleTimeoutUs: 3_000_000}}})
	env.renewLease()
	env.after(50_000, func() {
		env.renewLeasePeriodically()
		if !env.faults.onlyThisNode {
			env.commitOfOtherNodes()
		}
	})
	for range callers {
		env.after(env.between(60_000, 400_000), env.open)
	}
	env.after(1_000_000, func() { env.refill(callers) })
}

func (env *environment) refill(n int) {
	if env.stopAt == 0 {
		for range n - len(env.clients) {
			env.open()
		}
	}
	env.after(200_000, func() { env.refill(n) })
}

// injectFaults plays what the plan allows.
func (env *environment) injectFaults() {
	env.after(env.between(200_000, 1_500_000), env.injectFaults)
	var can []func()
	add := func(yes bool, f func()) {
		if yes {
			can = append(can, f)
		}
	}
	add(env.faults.crash, func() { env.dbs[env.rand.IntN(3)].crash() })
	add(env.faults.primaryChanges, func() {
		for _, db := range env.dbs {
			if !db.alive {
				return
			}
		}
		env.changePrimary(false)
	})
	add(env.faults.cutConnections, func() {
		db := env.dbs[env.rand.IntN(3)]
		for _, c := range sorted(db.conns) {
			if env.odds(2) {
				c.disconnect()
			}
		}
	})
	add(env.faults.partitioned, func() {
		env.partitioned = true
		env.after(env.between(100_000, 1_200_000), func() { env.partitioned = false })
	})
	add(env.faults.drain, func() {
		db := env.dbs[env.rand.IntN(3)]
		db.draining, db.call = !db.draining, db.call+1
	})
	add(true, func() { db := env.dbs[env.rand.IntN(3)]; db.lag = env.between(1_000, 1_500_000) })
	can[env.rand.IntN(len(can))]()
}

func sorted(m map[uint64]*fakeConn) (l []*fakeConn) {
	for id := range uint64(100_000) {
		if c := m[id]; c != nil {
			l = append(l, c)
			if len(l) == len(m) {
				break
			}
		}
	}
	return l
}

// TestEnvironments drives random callers against databases that fail in every way
// there is, and holds what callers are told to what the databases did.
func TestEnvironments(t *testing.T) {
	plans := []struct {
		name string
		p    faultPlan
	}{
		{"quiet", faultPlan{rollbackRestoresValues: true, brokenBegin: true}},
		{"alone", faultPlan{onlyThisNode: true, brokenBegin: true}},
		{"busy", faultPlan{busy: true, brokenBegin: true}},
		{"lost", faultPlan{loseAnswers: true, cutConnections: true, unresponsive: true, brokenBegin: true}},
		{"crash", faultPlan{crash: true, brokenBegin: true}},
		{"changes", faultPlan{primaryChanges: true, brokenBegin: true}},
		{"cut off", faultPlan{primaryChanges: true, partitioned: true, brokenBegin: true}},
		{"all", faultPlan{busy: true, loseAnswers: true, cutConnections: true, unresponsive: true, crash: true, primaryChanges: true, drain: true, partitioned: true, brokenBegin: true}},
		{"all, apart", faultPlan{busy: true, loseAnswers: true, cutConnections: true, unresponsive: true, crash: true, primaryChanges: true, drain: true, partitioned: true, separateBegin: true}},
	}
	seeds := uint64(20)
	if testing.Short() {
		seeds = 2
	}
	for _, p := range plans {
		t.Run(p.name, func(t *testing.T) {
			total := map[ports.Code]int{}
			follow := 0
			for seed := range seeds {
				env := newEnvironment(t, seed, p.p)
				env.start(25)
				env.after(600_000, env.injectFaults)
				env.runUntil(7_000_000)
				for c, n := range env.codes {
					total[c] += n
				}
				follow += env.replicaReads
			}
			if total[ports.Done] == 0 || follow == 0 {
				t.Fatalf("ended %v, %d at followers", total, follow)
			}
			t.Logf("ended %v, %d at followers", total, follow)
		})
	}
}
