package queue

import (
	"container/list"
	"time"

	"cardamomward/core/id"
)

// Item describes a waiting call.
type Item struct {
	Workspace id.Workspace
	// Weight is the workspace's share against the others; zero stands for one.
	Weight float64
	// Program is the root of the call's program; parallel sub-agents count as one program.
	Program id.Program
	Urgent  bool
	// Cost estimates the tokens that the call will take.
	Cost id.Tokens
	// Attained is what the program has been served so far, in tokens.
	Attained id.Tokens
}

func (i Item) weight() float64 {
	if i.Weight <= 0 {
		return 1
	}

	return i.Weight
}

// Ticket stands for a waiting call until it is served or removed.
type Ticket[T any] struct {
	Item     Item
	Value    T
	Enqueued time.Time

	seq     uint64
	index   int
	waiting bool
	retry   time.Time
	aside   *list.Element
}

func (t *Ticket[T]) before(other *Ticket[T]) bool { return t.seq < other.seq }

func (t *Ticket[T]) place() *int { return &t.index }

// Verdict is what an upstream's side says to a call.
type Verdict int

// Verdicts on a call.
const (
	// Taken serves the call.
	Taken Verdict = iota
	// Passed sets the call aside for a moment and tries the next one.
	Passed
	// Full ends the search in the call's class: no upstream has room for any call of it.
	Full
)

const (
	// urgentShare is the part of the served tokens that urgent calls may take while routine ones wait.
	urgentShare = 0.8
	// urgentLead is how many tokens urgent calls may run ahead of their share.
	urgentLead = 200_000
	// passLimit bounds the calls that one Pop sets aside.
	passLimit = 16
	// asidePause is how long a call that was passed over stays aside.
	asidePause = 20 * time.Millisecond
)

// Queue holds waiting calls; its zero value is empty and serves routine and urgent calls.
type Queue[T any] struct {
	classes [2]class[T]
	// ahead is how many tokens urgent calls have had beyond their share while routine ones waited.
	ahead float64
	// aside holds calls that were passed over, the earliest first.
	aside  list.List
	seq    uint64
	length int
	origin time.Time
}

const (
	routine = 0
	urgent  = 1
)

func classOf(item Item) int {
	if item.Urgent {
		return urgent
	}

	return routine
}

// Push adds a call.
func (q *Queue[T]) Push(now time.Time, item Item, value T) *Ticket[T] {
	if q.origin.IsZero() {
		q.origin = now
	}
	q.seq++
	q.length++
	t := &Ticket[T]{Item: item, Value: value, Enqueued: now, seq: q.seq, waiting: true}
	q.classes[classOf(item)].add(t, q.origin)

	return t
}

// Remove takes a call out before it is served and reports whether it was still waiting.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if !t.waiting {
		return false
	}
	t.waiting = false
	q.length--
	if t.aside != nil {
		q.aside.Remove(t.aside)
		t.aside = nil

		return true
	}
	q.classes[classOf(t.Item)].remove(t, q.origin)

	return true
}

// Pop returns the next call that admit takes; admit may place the call as a side effect.
func (q *Queue[T]) Pop(now time.Time, admit func(*Ticket[T]) Verdict) (*Ticket[T], bool) {
	q.restore(now)
	passes := 0
	for _, class := range q.order() {
		c := &q.classes[class]
		for c.ready.len() > 0 {
			t := c.ready.first().ready.first().waiting.first()
			verdict := admit(t)
			if verdict == Taken {
				q.serve(c, t)

				return t, true
			}
			if verdict == Full {
				break
			}
			if passes++; passes > passLimit {
				return nil, false
			}
			q.setAside(now, c, t)
		}
	}

	return nil, false
}

// order returns the classes in the order in which they are served.
func (q *Queue[T]) order() [2]int {
	if q.ahead > urgentLead {
		return [2]int{routine, urgent}
	}

	return [2]int{urgent, routine}
}

func (q *Queue[T]) serve(c *class[T], t *Ticket[T]) {
	q.account(t)
	c.begin(t)
	c.remove(t, q.origin)
	t.waiting = false
	q.length--
}

// account keeps the urgent class within its share.
func (q *Queue[T]) account(t *Ticket[T]) {
	cost := float64(t.Item.Cost)
	switch {
	case !t.Item.Urgent:
		q.ahead = max(0, q.ahead-cost*urgentShare)
	case q.classes[routine].ready.len() > 0:
		q.ahead += cost * (1 - urgentShare)
	default:
		q.ahead = 0
	}
}

func (q *Queue[T]) setAside(now time.Time, c *class[T], t *Ticket[T]) {
	c.remove(t, q.origin)
	t.retry = now.Add(asidePause)
	t.aside = q.aside.PushBack(t)
}

// restore puts calls that have been aside for long enough back in their place.
func (q *Queue[T]) restore(now time.Time) {
	for element := q.aside.Front(); element != nil; element = q.aside.Front() {
		t, ok := element.Value.(*Ticket[T])
		if !ok || now.Before(t.retry) {
			return
		}
		q.aside.Remove(element)
		t.aside = nil
		q.classes[classOf(t.Item)].add(t, q.origin)
	}
}

// Retry returns when the earliest call that was passed over may be tried again, and false if there is none.
func (q *Queue[T]) Retry() (time.Time, bool) {
	element := q.aside.Front()
	if element == nil {
		return time.Time{}, false
	}
	t, ok := element.Value.(*Ticket[T])
	if !ok {
		return time.Time{}, false
	}

	return t.retry, true
}

// Charge corrects a served call's cost once it is known.
func (q *Queue[T]) Charge(item Item, served id.Tokens) {
	q.classes[classOf(item)].end(item, served, q.origin)
}

// Len returns how many calls wait.
func (q *Queue[T]) Len() int { return q.length }
