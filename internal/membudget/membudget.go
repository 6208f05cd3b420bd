// Package membudget bounds the memory that the messages of a VM occupy together, so
// that large messages fail one by one instead of exhausting the memory of the process.
package membudget

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Errors of ReadAll and ReadParts.
var (
	// ErrTooLarge means that a message exceeds the limit of one message.
	ErrTooLarge = errors.New("message too large")
	// ErrExhausted means that all messages together exceed the budget.
	ErrExhausted = errors.New("memory budget exhausted")
)

// smallMessageBytes is granted to each message even when the budget is exhausted, so
// that a few large messages do not make the many small ones fail.
const smallMessageBytes = 16 << 10

// Budget is a bound on the bytes that messages occupy at one time. Safe for concurrent
// use. A nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Open returns an empty reservation, which the caller has to release.
func (b *Budget) Open() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// Reservation is the part of a budget that one message occupies. A nil Reservation is
// not counted.
type Reservation struct {
	budget *Budget

	mu       sync.Mutex // guards the fields below
	bytes    int64
	released bool
}

// Grow reserves n more bytes. It fails after Release: a canceled attempt may still be
// reading an answer that nobody needs anymore.
func (r *Reservation) Grow(n int64) error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return fmt.Errorf("%w: the reservation has been released", ErrExhausted)
	}
	used := r.budget.used.Add(n)
	if used > r.budget.limit && r.bytes+n > smallMessageBytes {
		r.budget.used.Add(-n)
		return fmt.Errorf("%w: %d of %d bytes are in use, %d more are needed", ErrExhausted, used-n, r.budget.limit, n)
	}
	r.bytes += n
	return nil
}

// Shrink returns n reserved bytes to the budget.
func (r *Reservation) Shrink(n int64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.released {
		r.budget.used.Add(-n)
		r.bytes -= n
	}
}

// Release returns all reserved bytes to the budget.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.used.Add(-r.bytes)
	r.bytes, r.released = 0, true
}

const (
	// defaultChunkBytes is the size of the first chunk of a message of unknown length.
	defaultChunkBytes = 2 << 10
	// maxHintBytes is the largest stated length that is allocated before it has arrived.
	maxHintBytes = 64 << 10
)

// ReadAll reads from in until EOF. length is the stated length of the message, negative
// if unknown. ReadAll reserves the memory as the message grows, and fails with
// ErrTooLarge once the message exceeds limit bytes.
func ReadAll(in io.Reader, length, limit int64, reservation *Reservation) ([]byte, error) {
	whole, _, err := ReadParts(in, length, limit, reservation)
	return whole, err
}

// ReadParts is like ReadAll. If it fails with ErrTooLarge or ErrExhausted, it also returns what it
// has read, in parts whose capacity stays reserved. It collects parts, because a single growing
// buffer would leave its former copies to the garbage collector.
func ReadParts(in io.Reader, length, limit int64, reservation *Reservation) (whole []byte, parts [][]byte, err error) {
	size := int64(defaultChunkBytes)
	if length >= 0 {
		size = min(length+1, maxHintBytes) // room for one more byte, so that EOF is seen without another chunk
	}
	total := int64(0)
	for {
		size = min(size, limit+1-total)
		if err := reservation.Grow(size); err != nil {
			return nil, parts, err
		}
		chunk, err := readChunk(in, size)
		parts = append(parts, chunk)
		total += int64(len(chunk))
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return nil, nil, err
		case total > limit:
			return nil, parts, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case err != nil:
			whole, err := join(parts, total, reservation)
			return whole, parts, err
		}
		size = max(total, defaultChunkBytes)
	}
}

// readChunk reads until the chunk is full or an error occurs, EOF included.
func readChunk(in io.Reader, size int64) ([]byte, error) {
	chunk := make([]byte, size)
	filled := 0
	for filled < len(chunk) {
		n, err := in.Read(chunk[filled:])
		filled += n
		if err != nil {
			return chunk[:filled], err
		}
	}
	return chunk, nil
}

func join(chunks [][]byte, total int64, reservation *Reservation) ([]byte, error) {
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	if err := reservation.Grow(total); err != nil {
		return nil, err
	}
	whole := make([]byte, 0, total)
	for _, chunk := range chunks {
		whole = append(whole, chunk...)
		reservation.Shrink(int64(cap(chunk)))
	}
	return whole, nil
}
