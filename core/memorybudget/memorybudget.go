package memorybudget

import "time"

// Holder identifies who holds bytes, such as a connection.
type Holder uint64

// Budget is a limit of bytes and what each holder has of it. Its zero value has a limit of zero, which admits nothing.
type Budget struct {
	limit   int64
	used    int64
	holders map[Holder]*account
}

type account struct {
	bytes int64
	// waitsSince is when the holder began to wait for its caller without progress; zero while it does not wait.
	waitsSince time.Time
}

// New returns a budget of some bytes.
func New(limit int64) Budget { return Budget{limit: limit} }

// Limit returns the bytes that may be held at the same time.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Held returns the bytes of a holder.
func (b *Budget) Held(holder Holder) int64 {
	if held, ok := b.holders[holder]; ok {
		return held.bytes
	}

	return 0
}

// Reserve adds bytes to a holder, and reports false without a change if they do not fit.
func (b *Budget) Reserve(holder Holder, bytes int64) bool {
	if bytes < 0 || b.used+bytes > b.limit {
		return false
	}
	if bytes > 0 {
		b.account(holder).bytes += bytes
		b.used += bytes
	}

	return true
}

// Release subtracts bytes from a holder, at most those that it has.
func (b *Budget) Release(holder Holder, bytes int64) {
	held, ok := b.holders[holder]
	if !ok {
		return
	}
	bytes = max(0, min(bytes, held.bytes))
	held.bytes -= bytes
	b.used -= bytes
	b.removeIfEmpty(holder, held)
}

// ReleaseAll subtracts all bytes of a holder and forgets it.
func (b *Budget) ReleaseAll(holder Holder) {
	if held, ok := b.holders[holder]; ok {
		b.used -= held.bytes
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

// LargestIdle returns the holder with the most bytes of those that have waited without progress for a time, and false if none has.
func (b *Budget) LargestIdle(now time.Time, idle time.Duration) (Holder, bool) {
	var largest Holder
	most := int64(0)
	for holder, held := range b.holders {
		if held.waitsSince.IsZero() || now.Sub(held.waitsSince) < idle || held.bytes == 0 {
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
