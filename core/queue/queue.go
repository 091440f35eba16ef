package queue

import (
	"container/list"
	"time"

	"cardamomward/core/id"
)

// Item describes a waiting call.
type Item struct {
	Workspace id.Workspace
	// Weight is the workspace's share against the others.
	Weight float64
	// Program is the root of the call's program; parallel sub-agents count as one program.
	Program id.Program
	Urgent  bool
	// Cost estimates the tokens that the call will take.
	Cost id.Tokens
	// Attained is what the program has been served so far, in tokens.
	Attained id.Tokens
}

// Ticket stands for a waiting call until it is served or removed.
type Ticket[T any] struct {
	Item     Item
	Value    T
	Enqueued time.Time
	element  *list.Element
}

// Queue holds waiting calls; its zero value is empty.
type Queue[T any] struct {
	waiting list.List
}

// Push adds a call.
func (q *Queue[T]) Push(now time.Time, item Item, value T) *Ticket[T] {
	t := &Ticket[T]{Item: item, Value: value, Enqueued: now}
	t.element = q.waiting.PushBack(t)

	return t
}

// Remove takes a call out before it is served and reports whether it was still waiting.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t.element == nil {
		return false
	}
	q.waiting.Remove(t.element)
	t.element = nil

	return true
}

// Pop returns the next call that admit accepts; admit may place the call as a side effect.
func (q *Queue[T]) Pop(_ time.Time, admit func(*Ticket[T]) bool) (*Ticket[T], bool) {
	for element := q.waiting.Front(); element != nil; element = element.Next() {
		t, ok := element.Value.(*Ticket[T])
		if ok && admit(t) {
			q.Remove(t)

			return t, true
		}
	}

	return nil, false
}

// Charge corrects a served call's cost once it is known.
func (q *Queue[T]) Charge(_ Item, _ id.Tokens) {}

// Len returns how many calls wait.
func (q *Queue[T]) Len() int { return q.waiting.Len() }
