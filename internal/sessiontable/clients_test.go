package sessiontable

import (
	"fmt"
	"maps"

	"stoneford/internal/ports"
)

// client is one caller.
type client struct {
	session     uint64
	host        string
	values      map[string]string
	prepared    map[string]shapeKey
	tx          string
	txAt        int64
	state       ports.TransactionState
	statementID string // statement in flight
	kind        ports.StatementKind
	onDone      func() // what is in force once it is done
	floor       ports.Position
	closed      bool
	writes      []string // of its transaction
	readOnly    bool
}

// open opens a session for a new caller.
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

// sendStatement sends a caller's statement.
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

// act has a caller do something.
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
	name := fmt.Sprintf("n%d", env.rand.IntN(3))
	if c.state == ports.TransactionFailed {
		env.sendStatement(c, []ports.StatementKind{ports.Rollback, ports.Commit, ports.Read}[env.rand.IntN(3)], "", "", false)
		return
	}
	switch env.rand.IntN(12) {
	case 0:
		env.sendStatement(c, ports.SetValue, name, fmt.Sprintf("v%d", env.rand.IntN(3)), false)
		return
	case 1:
		env.sendStatement(c, ports.Prepare, name, fmt.Sprintf("q%d", env.rand.IntN(4)), env.odds(2))
		return
	}
	if c.tx != "" {
		env.actInTransaction(c, name)
		return
	}
	switch env.rand.IntN(8) {
	case 0, 1:
		env.sendStatement(c, ports.Begin, "", "", false)
	case 2:
		env.sendStatement(c, ports.BeginRead, "", "", false)
	case 3, 4:
		env.write(c, name)
	default:
		env.read(c, name)
	}
}

func (env *environment) actInTransaction(c *client, name string) {
	switch env.rand.IntN(6) {
	case 0:
		env.sendStatement(c, ports.Commit, "", "", false)
	case 1:
		kind := ports.Commit
		if env.odds(3) {
			kind = ports.Rollback
		}
		env.sendStatement(c, kind, "", "", false)
	case 2, 3:
		if c.readOnly {
			env.read(c, name)
			return
		}
		env.write(c, name)
	default:
		env.read(c, name)
	}
}

// read sends a read, now and then by a prepared name.
func (env *environment) read(c *client, name string) {
	if env.odds(3) && c.prepared[name].text != "" && !c.prepared[name].writes {
		env.sendStatement(c, ports.Execute, name, "", false)
		return
	}
	env.sendStatement(c, ports.Read, "", "k", false)
}

// write sends a write, now and then by a prepared name.
func (env *environment) write(c *client, name string) {
	if env.odds(3) && c.prepared[name].text != "" && c.prepared[name].writes {
		env.sendStatement(c, ports.Execute, name, "", false)
		return
	}
	env.sendStatement(c, ports.Write, "", "k", false)
}

// closeSession takes the end of a session by the table.
func (env *environment) closeSession(e CloseSession) {
	env.sessionsClosed++
	c := env.clients[e.Session]
	if c == nil {
		env.fatal("session %d is closed and is none", e.Session)
	}
	if c.statementID != "" {
		env.fatal("session %d is closed in the middle of a statement", e.Session)
	}
	delete(env.clients, e.Session)
	c.closed = true
}

// reply checks a reply against what is known of the databases.
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
	id := c.statementID
	if id == "" {
		c.state = ports.Idle
		env.actLater(c)
		return
	}
	c.statementID = ""
	expected := env.oracles[id]
	expected.answered, expected.code = true, e.Code
	env.codes[e.Code]++
	env.logf("session %d: %s kind %d ends %d state %d %s", e.Session, id, expected.kind, e.Code, e.State, e.Text)
	if expected.route.TimeoutUs > 0 && env.now > expected.at+expected.route.TimeoutUs+1 && expected.tx == "" {
		env.fatal("%s ends past its deadline", id)
	}
	before := c.state
	c.state = e.State
	if e.Code == ports.Done && c.onDone != nil {
		c.onDone()
	}
	if expected.tx == "" && expected.wrote() || expected.kind == ports.Commit {
		env.checkCommitted(c, e)
	}
	env.checkState(c, expected, id, before, e)
	if expected.tx == "" && expected.wrote() {
		c.writes = nil
	}
	env.actLater(c)
}

func (env *environment) actLater(c *client) {
	env.after(env.between(500, 60_000), func() { env.act(c) })
}

// checkCommitted checks that what a reply says of a caller's writes is what the databases
// did, and records an acknowledged commit.
func (env *environment) checkCommitted(c *client, e Reply) {
	ids := c.writes
	c.writes = nil
	for _, id := range ids {
		switch ran := env.oracles[id].ran; {
		case e.Code == ports.Done && ran != 1:
			env.fatal("%s is acknowledged and took effect %d times", id, ran)
		case e.Code.NoEffect() && ran != 0:
			env.fatal("%s has no effect by its reply, and it has", id)
		case e.Code.NoEffect():
			env.oracles[id].nothingCommitted = true
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

// checkState checks the state in which a reply leaves a session.
func (env *environment) checkState(c *client, expected *oracle, id string, before ports.TransactionState, e Reply) {
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
	begins := expected.kind == ports.Begin || expected.kind == ports.BeginRead
	staysOutside := expected.tx == "" && !begins
	endsFailed := before == ports.TransactionFailed && e.Code == ports.Done
	if (staysOutside || endsFailed) && e.State != ports.Idle {
		env.fatal("%s leaves state %d behind %d", id, e.State, before)
	}
}
