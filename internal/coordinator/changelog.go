package coordinator

// changeLog numbers the changes of what this voter sends to those who poll it. A poller
// names the newest number that it has, and is sent the keys whose number is greater.
type changeLog struct {
	newest uint64            // number of the newest change
	byKey  map[string]uint64 // key of a register or record to the number of its newest change
	// revisions are, of each register, the newest revision accepted and the number of
	// the change that brought it.
	revisions map[string]acceptedRevision
	// membership is the number of the newest change of the membership, or of the one
	// under which this process votes.
	membership uint64
	pushNeeded bool // the step under way made a change
}

type acceptedRevision struct{ revision, changeNumber uint64 }

func newChangeLog() changeLog {
	return changeLog{byKey: map[string]uint64{}, revisions: map[string]acceptedRevision{}}
}

// recordChanged numbers a change of a record.
func (l *changeLog) recordChanged(key string) {
	l.increment()
	l.byKey[key] = l.newest
}

// registerChanged numbers a change of a register. A value that is accepted once more,
// at another ballot, is a change but no new revision.
func (l *changeLog) registerChanged(key string, revision uint64) {
	l.increment()
	l.byKey[key] = l.newest
	if l.revisions[key].revision != revision {
		l.revisions[key] = acceptedRevision{revision: revision, changeNumber: l.newest}
	}
}

// membershipChanged has all pollers sent the newest membership.
func (l *changeLog) membershipChanged() {
	l.increment()
	l.membership = l.newest
}

// hasRevision reports whether somebody who has all changes up to a number was sent a
// revision of a register.
func (l *changeLog) hasRevision(key string, revision, upTo uint64) bool {
	accepted := l.revisions[key]
	return upTo > 0 && accepted.revision == revision && accepted.changeNumber <= upTo
}

// forget drops a record that is gone for good.
func (l *changeLog) forget(key string) { delete(l.byKey, key) }

func (l *changeLog) increment() {
	l.newest++
	l.pushNeeded = true
}
