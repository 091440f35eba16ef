package http1

const (
	// firstBufferBytes is the size of the first buffer of a request's head or body.
	firstBufferBytes = 1 << 10
	// doublingBytes is the size up to which a buffer is doubled when it is full. A larger one grows by half.
	doublingBytes = 256 << 10
)

// buffer holds bytes in memory that is reserved before it is allocated.
type buffer struct{ data []byte }

// append adds bytes. The buffer grows with what has arrived, and at most to its final size if that is known. It is not left just below that, as
// the last copy would need almost twice the size.
func (b *buffer) append(bytes []byte, final int64, memory Memory) error {
	needed := len(b.data) + len(bytes)
	if needed <= cap(b.data) {
		b.data = append(b.data, bytes...)

		return nil
	}
	grown := max(firstBufferBytes, 2*cap(b.data))
	if cap(b.data) >= doublingBytes {
		grown = cap(b.data) + cap(b.data)/2
	}
	grown = max(needed, grown)
	if final >= int64(needed) && int64(grown+grown/2) >= final {
		grown = int(final)
	}
	if !memory.Reserve(int64(grown)) {
		return ErrNoMemory
	}
	old := b.data
	b.data = append(make([]byte, 0, grown), old...)
	b.data = append(b.data, bytes...)
	memory.Release(int64(cap(old)))

	return nil
}
