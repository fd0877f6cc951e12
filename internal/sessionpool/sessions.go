package sessionpool

import (
	"stoneford/internal/ports"
	"stoneford/internal/sessiontable"
)

// SessionOpened implements SessionHandler.
func (p *Process) SessionOpened(client Client, host string) uint64 {
	id := p.lastSession.Add(1)
	p.mu.Lock()
	p.sessions[id] = client
	p.stepLocked(sessiontable.SessionOpened{Session: id, Host: host})
	return id
}

// StatementReceived implements SessionHandler. It drops a statement of a session that the
// node has already ended.
func (p *Process) StatementReceived(session uint64, statement ports.Statement) {
	p.mu.Lock()
	if _, ok := p.sessions[session]; !ok {
		p.mu.Unlock()
		return
	}
	p.stepLocked(sessiontable.StatementReceived{Session: session, Statement: statement})
}

// SessionClosed implements SessionHandler.
func (p *Process) SessionClosed(session uint64) {
	p.mu.Lock()
	if _, ok := p.sessions[session]; !ok {
		p.mu.Unlock()
		return
	}
	delete(p.sessions, session)
	p.stepLocked(sessiontable.SessionClosed{Session: session})
}
