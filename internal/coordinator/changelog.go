package coordinator

// changeLog numbers the changes of the state that this voter sends to pollers. A poll
// contains the newest number that the poller has; the response contains the keys with
// greater numbers.
type changeLog struct {
	newest uint64            // number of the newest change
	byKey  map[string]uint64 // key of a register or record to the number of its newest change
	// revisions holds, for each register, the newest accepted revision and the number of
	// the change that introduced it.
	revisions map[string]acceptedRevision
	// membership is the number of the newest change of the known membership or of the
	// membership under which this process votes.
	membership uint64
	pushNeeded bool // whether the current step made a change
}

// acceptedRevision is an accepted revision of a register and the number of the change
// that introduced it.
type acceptedRevision struct{ revision, changeNumber uint64 }

func newChangeLog() changeLog {
	return changeLog{byKey: map[string]uint64{}, revisions: map[string]acceptedRevision{}}
}

// recordChanged assigns a number to a change of a record.
func (l *changeLog) recordChanged(key string) {
	l.increment()
	l.byKey[key] = l.newest
}

// registerChanged assigns a number to a change of a register. A value that is accepted
// again at another ballot is a change, but not a new revision.
func (l *changeLog) registerChanged(key string, revision uint64) {
	l.increment()
	l.byKey[key] = l.newest
	if l.revisions[key].revision != revision {
		l.revisions[key] = acceptedRevision{revision: revision, changeNumber: l.newest}
	}
}

// membershipChanged assigns a number to a change of the membership, so that all pollers
// are sent the newest one.
func (l *changeLog) membershipChanged() {
	l.increment()
	l.membership = l.newest
}

// hasRevision reports whether a poller that has all changes up to a number was sent a
// revision of a register.
func (l *changeLog) hasRevision(key string, revision, upTo uint64) bool {
	accepted := l.revisions[key]
	return upTo > 0 && accepted.revision == revision && accepted.changeNumber <= upTo
}

// forget removes the entry of a deleted record.
func (l *changeLog) forget(key string) { delete(l.byKey, key) }

func (l *changeLog) increment() {
	l.newest++
	l.pushNeeded = true
}
