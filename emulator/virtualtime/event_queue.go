package virtualtime

// event is a scheduled function. The sequence number orders events that are due at the same
// time.
type event struct {
	atUs     int64
	sequence uint64
	run      func()
}

// eventQueue is a min-heap of events by due time; it implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].atUs < q[j].atUs || q[i].atUs == q[j].atUs && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; called by container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event; called by container/heap. It clears the slot, so
// that the garbage collector can free what the event's function refers to.
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	x := old[last]
	old[last] = event{}
	*q = old[:last]
	return x
}
