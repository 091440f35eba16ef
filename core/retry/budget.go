package retry

const (
	// ratio is how many retries each success pays for.
	ratio = 0.1
	// reserve is how many retries are allowed before any success.
	reserve = 10
	// capacity bounds what successes can save up beyond the reserve.
	capacity = 100
)

// Budget allows retries as a fraction of successes; its zero value holds a small reserve.
type Budget struct {
	balance float64
}

// Succeeded pays a part of a retry in.
func (b *Budget) Succeeded() { b.balance = min(b.balance+ratio, capacity) }

// Take takes one retry out and reports whether there was one.
func (b *Budget) Take() bool {
	if b.balance-1 < -reserve {
		return false
	}
	b.balance--

	return true
}
