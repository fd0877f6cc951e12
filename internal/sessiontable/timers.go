package sessiontable

import "math"

// timer calls its owner at a moment.
type timer struct {
	atUs     int64
	sequence uint64 // orders timers of the same moment by the time of arming
	index    int    // heap index, 0 if the timer is not armed
	owner    timerOwner
}

// timerOwner is called when its timer is due. The timer is already disarmed then.
type timerOwner interface{ timerFired(t *Table) }

func (t *timer) armed() bool { return t.index != 0 }

// timerQueue holds the armed timers, earliest first.
type timerQueue struct {
	heap         heap[*timer]
	lastSequence uint64
}

func newTimerQueue() timerQueue {
	return timerQueue{heap: heap[*timer]{
		less:  func(a, b *timer) bool { return a.atUs < b.atUs || a.atUs == b.atUs && a.sequence < b.sequence },
		index: func(t *timer) *int { return &t.index },
	}}
}

// arm arms a timer for a moment, or moves it if it is already armed.
func (q *timerQueue) arm(t *timer, at int64) {
	if t.armed() && t.atUs == at {
		return
	}
	q.lastSequence++
	t.atUs, t.sequence = at, q.lastSequence
	if t.armed() {
		q.heap.fix(t)
		return
	}
	q.heap.push(t)
}

func (q *timerQueue) disarm(t *timer) {
	if t.armed() {
		q.heap.remove(t)
	}
}

// due returns the moment of the earliest timer, or math.MaxInt64 if none is armed.
func (q *timerQueue) due() int64 {
	if q.heap.len() == 0 {
		return math.MaxInt64
	}
	return q.heap.top().atUs
}

// popDue disarms and returns the earliest timer if it is due, or returns nil.
func (q *timerQueue) popDue(now int64) *timer {
	if q.heap.len() == 0 || q.heap.top().atUs > now {
		return nil
	}
	t := q.heap.top()
	q.heap.remove(t)
	return t
}
