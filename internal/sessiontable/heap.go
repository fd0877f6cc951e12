package sessiontable

// heap is a binary heap whose items store their own index, so that any item can be
// removed. The stored index is one more than the index in items; 0 means that the item
// is not in a heap. An item can be in only one heap at a time.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }
func (h *heap[T]) top() T   { return h.items[0] }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	*h.index(x) = len(h.items)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(x T) {
	i, n := *h.index(x)-1, len(h.items)-1
	h.swap(i, n)
	var zero T
	h.items[n] = zero
	h.items = h.items[:n]
	*h.index(x) = 0
	if i < n {
		h.fix(h.items[i])
	}
}

// fix restores the heap order after an item changed.
func (h *heap[T]) fix(x T) {
	if i := *h.index(x) - 1; !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]), *h.index(h.items[j]) = i+1, j+1
}

func (h *heap[T]) up(i int) (moved bool) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
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
		if c >= len(h.items) {
			return
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}
