package fairqueue

import (
	"container/list"
	"time"

	"cardamomward/core/id"
)

// Item describes a waiting call.
type Item struct {
	Workspace id.Workspace
	// Weight is the workspace's share of the served tokens relative to the others; zero or less means one.
	Weight float64
	// Program is the root program of the call; its parallel sub-agents count as one program.
	Program id.Program
	Urgent  bool
	// EstimatedTokens is charged when the call is served and corrected by SettleCost.
	EstimatedTokens id.Tokens
	// AttainedTokens is the service that the program has received so far.
	AttainedTokens id.Tokens
}

func (i Item) weight() float64 {
	if i.Weight <= 0 {
		return 1
	}

	return i.Weight
}

// Entry is a queued call with a value that the user of the queue attaches to it.
type Entry[T any] struct {
	Item       Item
	Value      T
	EnqueuedAt time.Time

	seq            uint64
	heapIndex      int
	isWaiting      bool
	retryAt        time.Time
	skippedElement *list.Element
}

func (e *Entry[T]) less(other *Entry[T]) bool { return e.seq < other.seq }

func (e *Entry[T]) heapIndexRef() *int { return &e.heapIndex }

// AdmitResult says whether a waiting call could be admitted to an upstream.
type AdmitResult int

// Results of the admit function of Pop.
const (
	// Admitted takes the call out of the queue.
	Admitted AdmitResult = iota
	// Skipped sets the call aside for 20 ms and tries the next one.
	Skipped
	// NoCapacity ends the search in the call's priority class, because no upstream has room for any call of that class.
	NoCapacity
)

const (
	// urgentTokenShare is the fraction of the served tokens that urgent calls may take while routine ones wait.
	urgentTokenShare = 0.8
	// maxUrgentLeadTokens is how far urgent calls may exceed their share before routine ones go first.
	maxUrgentLeadTokens = 200_000
	// maxSkipsPerPop bounds the calls that one Pop skips.
	maxSkipsPerPop = 16
	// skipRetryDelay is how long a skipped call is not tried again.
	skipRetryDelay = 20 * time.Millisecond
)

// Queue is a weighted fair queue of urgent and routine calls; its zero value is empty and ready to use.
type Queue[T any] struct {
	classes [2]priorityClass[T]
	// urgentLeadTokens is how many tokens urgent calls have received beyond their share while routine ones waited.
	urgentLeadTokens float64
	// skipped lists the entries that Pop skipped, the earliest first.
	skipped      list.List
	seq          uint64
	waitingCount int
	baseTime     time.Time
}

const (
	routineClass = 0
	urgentClass  = 1
)

func classOf(item Item) int {
	if item.Urgent {
		return urgentClass
	}

	return routineClass
}

// Push adds a call to the queue.
func (q *Queue[T]) Push(now time.Time, item Item, value T) *Entry[T] {
	if q.baseTime.IsZero() {
		q.baseTime = now
	}
	q.seq++
	q.waitingCount++
	e := &Entry[T]{Item: item, Value: value, EnqueuedAt: now, seq: q.seq, isWaiting: true}
	q.classes[classOf(item)].add(e, q.baseTime)

	return e
}

// Remove cancels a waiting call and reports whether it was still waiting.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.isWaiting {
		return false
	}
	e.isWaiting = false
	q.waitingCount--
	if e.skippedElement != nil {
		q.skipped.Remove(e.skippedElement)
		e.skippedElement = nil

		return true
	}
	q.classes[classOf(e.Item)].remove(e, q.baseTime)

	return true
}

// Pop removes and returns the next call that admit accepts, or returns false; admit may assign an upstream to the
// call as a side effect.
func (q *Queue[T]) Pop(now time.Time, admit func(*Entry[T]) AdmitResult) (*Entry[T], bool) {
	q.requeueSkipped(now)
	skips := 0
	for _, class := range q.classOrder() {
		c := &q.classes[class]
		for c.readyFlows.len() > 0 {
			e := c.readyFlows.first().readyPrograms.first().waiting.first()
			result := admit(e)
			if result == Admitted {
				q.dequeue(c, e)

				return e, true
			}
			if result == NoCapacity {
				break
			}
			if skips++; skips > maxSkipsPerPop {
				return nil, false
			}
			q.skip(now, c, e)
		}
	}

	return nil, false
}

// classOrder returns the classes in the order in which they are served.
func (q *Queue[T]) classOrder() [2]int {
	if q.urgentLeadTokens > maxUrgentLeadTokens {
		return [2]int{routineClass, urgentClass}
	}

	return [2]int{urgentClass, routineClass}
}

func (q *Queue[T]) dequeue(c *priorityClass[T], e *Entry[T]) {
	q.updateUrgentLead(e)
	c.chargeEstimate(e)
	c.remove(e, q.baseTime)
	e.isWaiting = false
	q.waitingCount--
}

// updateUrgentLead counts how far the urgent class is ahead of its share.
func (q *Queue[T]) updateUrgentLead(e *Entry[T]) {
	cost := float64(e.Item.EstimatedTokens)
	switch {
	case !e.Item.Urgent:
		q.urgentLeadTokens = max(0, q.urgentLeadTokens-cost*urgentTokenShare)
	case q.classes[routineClass].readyFlows.len() > 0:
		q.urgentLeadTokens += cost * (1 - urgentTokenShare)
	default:
		q.urgentLeadTokens = 0
	}
}

// skip removes an entry from its queues until its retry delay is over.
func (q *Queue[T]) skip(now time.Time, c *priorityClass[T], e *Entry[T]) {
	c.remove(e, q.baseTime)
	e.retryAt = now.Add(skipRetryDelay)
	e.skippedElement = q.skipped.PushBack(e)
}

// requeueSkipped puts calls whose retry delay is over back into their queues.
func (q *Queue[T]) requeueSkipped(now time.Time) {
	for element := q.skipped.Front(); element != nil; element = q.skipped.Front() {
		e, ok := element.Value.(*Entry[T])
		if !ok || now.Before(e.retryAt) {
			return
		}
		q.skipped.Remove(element)
		e.skippedElement = nil
		q.classes[classOf(e.Item)].add(e, q.baseTime)
	}
}

// NextRetryTime returns when the first skipped call may be tried again, and false if none was skipped.
func (q *Queue[T]) NextRetryTime() (time.Time, bool) {
	element := q.skipped.Front()
	if element == nil {
		return time.Time{}, false
	}
	e, ok := element.Value.(*Entry[T])
	if !ok {
		return time.Time{}, false
	}

	return e.retryAt, true
}

// SettleCost corrects the charge for a call that Pop returned, once it has ended: from the estimated tokens to those
// that it was served.
func (q *Queue[T]) SettleCost(item Item, served id.Tokens) {
	q.classes[classOf(item)].settleCost(item, served, q.baseTime)
}

// Len returns how many calls wait, skipped ones included.
func (q *Queue[T]) Len() int { return q.waitingCount }
