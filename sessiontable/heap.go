package sessiontable

// heap is a binary heap whose items know their place in it, so that one can be
// taken out of the middle. An item's place is its index plus one, 0 for none.
type heap[T any] struct {
	xs   []T
	less func(a, b T) bool
	at   func(T) *int
}

func (h *heap[T]) len() int { return len(h.xs) }
func (h *heap[T]) top() T   { return h.xs[0] }

func (h *heap[T]) push(x T) {
	h.xs = append(h.xs, x)
	*h.at(x) = len(h.xs)
	h.up(len(h.xs) - 1)
}

func (h *heap[T]) remove(x T) {
	i, n := *h.at(x)-1, len(h.xs)-1
	h.swap(i, n)
	var zero T
	h.xs[n] = zero
	h.xs = h.xs[:n]
	*h.at(x) = 0
	if i < n {
		h.fix(h.xs[i])
	}
}

// fix puts an item right whose order changed.
func (h *heap[T]) fix(x T) {
	if i := *h.at(x) - 1; !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.xs[i], h.xs[j] = h.xs[j], h.xs[i]
	*h.at(h.xs[i]), *h.at(h.xs[j]) = i+1, j+1
}

func (h *heap[T]) up(i int) (moved bool) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.xs[i], h.xs[p]) {
			break
		}
		h.swap(i, p)
		i, moved = p, true
	}
	return moved
}

func (h *heap[T]) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.xs) {
			return
		}
		if c+1 < len(h.xs) && h.less(h.xs[c+1], h.xs[c]) {
			c++
		}
		if !h.less(h.xs[c], h.xs[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

// timer is one moment an owner waits for.
type timer struct {
	at    int64
	seq   uint64
	place int
	owner any
}

func (t *Table) arm(m *timer, at int64) {
	if m.place != 0 && m.at == at {
		return
	}
	t.seq++
	m.at, m.seq = at, t.seq
	if m.place != 0 {
		t.timers.fix(m)
		return
	}
	t.timers.push(m)
}

func (t *Table) disarm(m *timer) {
	if m.place != 0 {
		t.timers.remove(m)
	}
}
