package sessionpool

import (
	"context"

	"github.com/apex/log"

	"stoneford/internal/sessiontable"
	"stoneford/result"
)

// flusher is a client or connection with queued output.
type flusher interface{ Flush() }

// deferredWork is the part of a step's effects that is performed after the lock is
// released, because it writes, dials or closes.
type deferredWork struct {
	buffer  [4]flusher // avoids allocating flush for small steps
	flush   []flusher
	dial    []func()
	closing []*connection
	entries []sessiontable.LogEntry
}

// performLocked performs the effects of a step. The caller must have locked p.mu.
// performLocked queues all output in the order of the effects, unlocks p.mu, and then
// writes the output.
func (p *Process) performLocked(now int64, effects Effects) {
	var work deferredWork
	work.flush = work.buffer[:0]
	if core, ok := p.core.(*Core); ok {
		p.tableRevision.Store(core.tableRevision)
	}
	for _, effect := range effects.Table {
		p.queueEffect(&work, effect)
	}
	p.setTimer(now)
	p.mu.Unlock()
	work.run()
	for _, message := range effects.Send {
		p.links.Send(message.To, message.Envelope)
	}
}

// queueEffect queues the output of one effect, and adds the remaining work to work.
func (p *Process) queueEffect(work *deferredWork, effect sessiontable.Effect) {
	switch effect := effect.(type) {
	case sessiontable.Reply:
		if client := p.sessions[effect.Session]; client != nil {
			client.Reply(effect.Reply)
			if effect.Close {
				p.closeSession(effect.Session, client)
			}
			work.flush = append(work.flush, client)
		}
	case sessiontable.CloseSession:
		if client := p.sessions[effect.Session]; client != nil {
			p.closeSession(effect.Session, client)
			work.flush = append(work.flush, client)
		}
	case sessiontable.Send:
		if conn := p.connections[effect.Conn]; conn != nil && conn.db != nil {
			conn.db.Queue(effect.Ops)
			work.flush = append(work.flush, conn.db)
		}
	case sessiontable.Connect:
		conn := &connection{}
		conn.ctx, conn.cancel = context.WithCancel(p.context)
		p.connections[effect.Conn] = conn
		work.dial = append(work.dial, func() { p.serveConnection(effect, conn) })
	case sessiontable.CloseConnection:
		if conn := p.connections[effect.Conn]; conn != nil {
			delete(p.connections, effect.Conn)
			work.closing = append(work.closing, conn)
		}
	case sessiontable.LogEntry:
		work.entries = append(work.entries, effect)
	}
}

// closeSession queues the closing of a session at its client, and removes the session.
func (p *Process) closeSession(session uint64, client Client) {
	client.Close()
	delete(p.sessions, session)
}

// run performs the deferred work. The caller must not have locked the process's mutex.
func (w *deferredWork) run() {
	for _, flusher := range w.flush {
		flusher.Flush()
	}
	for _, dial := range w.dial {
		go dial()
	}
	for _, conn := range w.closing {
		conn.close()
	}
	for _, entry := range w.entries {
		writeLog(entry.Code, entry.Text)
	}
}

func writeLog(code result.Code, text string) {
	log.WithFields(log.Fields{"code": int(code), "what": text}).Info(code.String())
}
