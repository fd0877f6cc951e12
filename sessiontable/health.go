package sessiontable

// fails notes that an instance cannot be used; it is told at once.
func (t *Table) fails(in *instance, since int64, cut bool) {
	if in.failing == 0 || cut && !in.cut {
		t.changed = true
	}
	if in.failing == 0 {
		in.failing = max(since, 1)
	}
	in.cut = in.cut || cut
	in.dirtyIn(t)
	t.wakeAt(in, max(in.backoff, t.now+50_000))
}

// works notes that an instance gave a sign.
func (t *Table) works(in *instance) {
	if in.failing > 0 {
		in.failing, in.cut, in.spread = 0, false, false
		in.dirtyIn(t)
	}
	in.wrong = false
}

// probe connects to an instance that fails, to see when it works again.
func (t *Table) probe(in *instance) {
	if in.failing == 0 || in.out || in.Leaving || in.wrong || in.opening > 0 {
		return
	}
	if t.now < in.backoff {
		t.wakeAt(in, in.backoff)
		return
	}
	if len(in.conns)-in.stuck < t.most(in) {
		in.backUs = min(max(in.backUs*2, 50_000), 1_000_000)
		in.backoff = t.now + in.backUs
		t.connect(in)
		return
	}
	t.wakeAt(in, t.now+500_000)
}

// scatter places anew the reads that wait for an instance that fails, once.
func (t *Table) scatter(in *instance) {
	if in.spread {
		return
	}
	in.spread = true
	t.replaceLine(in, func(a *request) bool { return !a.goesOn() && !a.atPrimary() })
}
