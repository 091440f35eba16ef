package queue

import "container/heap"

// node is an element of a tree; before orders it and place holds its index.
type node[E any] interface {
	before(other E) bool
	place() *int
}

// tree is a binary heap whose elements know their index; its zero value is empty.
type tree[E node[E]] struct{ items items[E] }

func (t *tree[E]) len() int { return len(t.items) }

func (t *tree[E]) first() E { return t.items[0] }

func (t *tree[E]) add(e E) { heap.Push(&t.items, e) }

func (t *tree[E]) fix(e E) { heap.Fix(&t.items, *e.place()) }

func (t *tree[E]) remove(e E) { heap.Remove(&t.items, *e.place()) }

// items implements heap.Interface.
type items[E node[E]] []E

// Len implements heap.Interface.
func (s items[E]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s items[E]) Less(i, j int) bool { return s[i].before(s[j]) }

// Swap implements heap.Interface.
func (s items[E]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	*s[i].place() = i
	*s[j].place() = j
}

// Push implements heap.Interface.
func (s *items[E]) Push(x any) {
	e, ok := x.(E)
	if !ok {
		return
	}
	*e.place() = len(*s)
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
