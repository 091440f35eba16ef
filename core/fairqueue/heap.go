package fairqueue

import "container/heap"

// heapElement is an element of an indexedHeap; heapIndexRef returns a pointer to its stored index in the heap.
type heapElement[E any] interface {
	less(other E) bool
	heapIndexRef() *int
}

// indexedHeap is a binary heap whose elements store their index, so that any of them can be fixed or removed;
// its zero value is empty.
type indexedHeap[E heapElement[E]] struct{ items items[E] }

func (t *indexedHeap[E]) len() int { return len(t.items) }

func (t *indexedHeap[E]) first() E { return t.items[0] }

func (t *indexedHeap[E]) add(e E) { heap.Push(&t.items, e) }

func (t *indexedHeap[E]) fix(e E) { heap.Fix(&t.items, *e.heapIndexRef()) }

func (t *indexedHeap[E]) remove(e E) { heap.Remove(&t.items, *e.heapIndexRef()) }

// items implements heap.Interface.
type items[E heapElement[E]] []E

// Len implements heap.Interface.
func (s items[E]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s items[E]) Less(i, j int) bool { return s[i].less(s[j]) }

// Swap implements heap.Interface.
func (s items[E]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].heapIndexRef() = i
	*s[j].heapIndexRef() = j
}

// Push implements heap.Interface.
func (s *items[E]) Push(x any) {
	e, ok := x.(E)
	if !ok {
		return
	}
	*e.heapIndexRef() = len(*s)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *items[E]) Pop() any {
	old := *s
	last := len(old) - 1
	e := old[last]
	var none E
	old[last] = none
	*s = old[:last]

	return e
}
