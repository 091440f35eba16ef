package memorybudget

import "time"

// Holder identifies who holds bytes, such as a connection.
type Holder uint64

// Class is the purpose of held bytes. A class may have guaranteed bytes, which the others cannot take.
type Class int

const (
	// Callers is the class of requests of callers and of the responses to them.
	Callers Class = iota
	// Relays is the class of connections that are relayed for other hosts.
	Relays
	// Calls is the class of calls between hosts, except for those of Storage. One holder of it always fits.
	Calls
	// Storage is the class of calls between hosts without which an answered turn does not become durable. One holder of it always fits.
	Storage

	classCount
)

// Budget is a limit of bytes and what each holder has of it. Its zero value has a limit of zero, which admits nothing.
type Budget struct {
	limit      int64
	used       [classCount]int64
	guaranteed [classCount]int64
	holders    map[Holder]*account
}

type account struct {
	class Class
	bytes int64
	// waitsSince is the start of the holder's wait for its caller without progress; zero while it does not wait.
	waitsSince time.Time
}

// New returns a budget of some bytes.
func New(limit int64) Budget { return Budget{limit: limit} }

// Guarantee keeps bytes free for a class. What all classes are guaranteed must not exceed the limit.
func (b *Budget) Guarantee(class Class, bytes int64) { b.guaranteed[class] = bytes }

// Limit returns the bytes that may be held at the same time.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	sum := int64(0)
	for _, bytes := range b.used {
		sum += bytes
	}

	return sum
}

// UsedBy returns the bytes that are held for a class.
func (b *Budget) UsedBy(class Class) int64 { return b.used[class] }

// Held returns the bytes of a holder.
func (b *Budget) Held(holder Holder) int64 {
	if held, ok := b.holders[holder]; ok {
		return held.bytes
	}

	return 0
}

// Reserve adds bytes to a holder, and reports false without a change if they do not fit. A holder that has bytes stays in their class.
func (b *Budget) Reserve(class Class, holder Holder, bytes int64) bool {
	if held, ok := b.holders[holder]; ok && held.bytes > 0 {
		class = held.class
	}
	if bytes < 0 || (bytes > 0 && !b.fits(class, holder, bytes)) {
		return false
	}
	b.Add(class, holder, bytes)

	return true
}

// Add adds bytes to a holder whether they fit or not, because they are held already. While the limit is exceeded, nothing else fits
// beyond what its class is guaranteed.
func (b *Budget) Add(class Class, holder Holder, bytes int64) {
	if bytes <= 0 {
		return
	}
	held := b.account(holder)
	if held.bytes == 0 {
		held.class = class
	}
	held.bytes += bytes
	b.used[held.class] += bytes
}

// fits reports whether a holder may take further bytes. What the other classes do not use of their guarantees stays free. A turn that a
// larger host has accepted may be larger than what this one has for calls, and must be stored and continued all the same.
func (b *Budget) fits(class Class, holder Holder, bytes int64) bool {
	if (class == Calls || class == Storage) && b.used[class] == b.Held(holder) {
		return true
	}
	after := b.used[class] + bytes
	if after <= b.guaranteed[class] {
		return true
	}
	for other := range classCount {
		if other != class {
			after += max(b.used[other], b.guaranteed[other])
		}
	}

	return after <= b.limit
}

// Release subtracts bytes from a holder, at most those that it has.
func (b *Budget) Release(holder Holder, bytes int64) {
	held, ok := b.holders[holder]
	if !ok {
		return
	}
	bytes = max(0, min(bytes, held.bytes))
	held.bytes -= bytes
	b.used[held.class] -= bytes
	b.removeIfEmpty(holder, held)
}

// ReleaseAll subtracts all bytes of a holder and forgets it.
func (b *Budget) ReleaseAll(holder Holder) {
	if held, ok := b.holders[holder]; ok {
		b.used[held.class] -= held.bytes
		delete(b.holders, holder)
	}
}

// SetWaiting records that a holder waits for its caller from now on.
func (b *Budget) SetWaiting(now time.Time, holder Holder) { b.account(holder).waitsSince = now }

// SetProgress records that a holder's caller has read something, so that the holder does not wait.
func (b *Budget) SetProgress(holder Holder) {
	if held, ok := b.holders[holder]; ok {
		held.waitsSince = time.Time{}
		b.removeIfEmpty(holder, held)
	}
}

// LargestIdle returns the holder of a class with the most bytes of those that have waited without progress for a time, and false if
// none has. The bytes of another class may be those that it is guaranteed, which would not become free.
func (b *Budget) LargestIdle(class Class, now time.Time, idle time.Duration) (Holder, bool) {
	var largest Holder
	most := int64(0)
	for holder, held := range b.holders {
		if held.class != class || held.waitsSince.IsZero() || now.Sub(held.waitsSince) < idle || held.bytes == 0 {
			continue
		}
		if held.bytes > most || (held.bytes == most && holder < largest) {
			largest, most = holder, held.bytes
		}
	}

	return largest, most > 0
}

func (b *Budget) account(holder Holder) *account {
	held, ok := b.holders[holder]
	if !ok {
		if b.holders == nil {
			b.holders = make(map[Holder]*account)
		}
		held = &account{}
		b.holders[holder] = held
	}

	return held
}

func (b *Budget) removeIfEmpty(holder Holder, held *account) {
	if held.bytes == 0 && held.waitsSince.IsZero() {
		delete(b.holders, holder)
	}
}
