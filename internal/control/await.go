package control

// await posts the event that newEvent returns for a new ID, and waits for the result with
// this ID. The core emits exactly one result for each ID. await returns false if the
// process stops first.
func await[R Effect](p *Process, newEvent func(id uint64) Event) (R, bool) {
	id := p.lastID.Add(1)
	waiter := make(chan R, 1)
	p.waiters.Store(id, waiter)
	p.post(newEvent(id))
	select {
	case r := <-waiter:
		return r, true
	case <-p.ctx.Done():
		var r R
		return r, false
	}
}

// deliver passes a result to the call that waits for its ID.
func deliver[R Effect](p *Process, id uint64, r R) {
	if waiter, ok := p.waiters.LoadAndDelete(id); ok {
		waiter.(chan R) <- r
	}
}

// inspect calls f with the core between two steps and waits until f has returned. If the
// process stops first, inspect returns early and f may still be called later.
func (p *Process) inspect(f func(c *Core, now int64)) {
	done := make(chan struct{})
	p.loop.Post(input{inspect: func(c *Core, now int64) {
		f(c, now)
		close(done)
	}})
	select {
	case <-done:
	case <-p.ctx.Done():
	}
}
