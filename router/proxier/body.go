package proxier

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// responseLimit limits the size of a buffered response, in bytes.
	responseLimit = 16 << 20
	// defaultBufferLimit limits the memory for all buffered responses together if
	// no other limit is set, in bytes.
	defaultBufferLimit = 48 << 20
	// minChunk and maxChunk are the sizes of the smallest and the largest chunk of a
	// response's buffer, in bytes.
	minChunk = 2 << 10
	maxChunk = 256 << 10
)

// errTooLarge reports a response that exceeds responseLimit, or for the rest of
// which no memory is left.
var errTooLarge = errors.New("the response exceeds the size limit or the memory left for responses")

// byteQuota limits the memory for all buffered responses together.
type byteQuota struct {
	mu sync.Mutex
	// reserved is in bytes.
	reserved int64
}

// reserve reserves n more bytes for a response that has own bytes reserved. No
// response may reserve more than it leaves free for others, so that endless
// responses cannot block the rest.
func (r *byteQuota) reserve(limit, own, n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own+n > limit-r.reserved-n {
		return false
	}
	r.reserved += n
	return true
}

// release releases n reserved bytes.
func (r *byteQuota) release(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved -= n
}

// body is a response body, buffered in chunks that are never copied.
type body struct {
	proxier *Proxier
	chunks  [][]byte
	// size is the number of bytes read, and reserved the number of bytes reserved in
	// the quota.
	size     int64
	reserved int64
}

// readAll reads the whole body.
func (b *body) readAll(r io.Reader) error {
	limit := b.proxier.MaxBufferedBytes
	if limit <= 0 {
		limit = defaultBufferLimit
	}
	for size := int64(minChunk); ; size = min(2*size, maxChunk) {
		if b.size > responseLimit || !b.proxier.quota.reserve(limit, b.reserved, size) {
			return errTooLarge
		}
		b.reserved += size
		err := b.readChunk(r, make([]byte, size))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readChunk reads one chunk. It returns io.EOF at the end of a complete body.
func (b *body) readChunk(r io.Reader, chunk []byte) error {
	n := 0
	var err error
	for n < len(chunk) && err == nil {
		var m int
		m, err = r.Read(chunk[n:])
		n += m
	}
	b.chunks = append(b.chunks, chunk[:n])
	b.size += int64(n)
	return err
}

// WriteTo implements io.WriterTo.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for _, p := range b.chunks {
		n, err := w.Write(p)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// release frees the body's buffer and releases its quota.
func (b *body) release() {
	b.proxier.quota.release(b.reserved)
	b.reserved = 0
	b.chunks = nil
}
