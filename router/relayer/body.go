package relayer

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// answerLimit bounds the answer of a plain service, in bytes.
	answerLimit = 16 << 20
	// heldDefault bounds what is held of all plain answers together where no
	// other bound is set, in bytes.
	heldDefault = 48 << 20
	// firstPiece and lastPiece are the smallest and the largest piece of an
	// answer, in bytes.
	firstPiece = 2 << 10
	lastPiece  = 256 << 10
)

// errTooLarge says that there is no room for the rest of an answer.
var errTooLarge = errors.New("the answer is too large")

// ration bounds what all plain answers hold together.
type ration struct {
	mu sync.Mutex
	// held is in bytes.
	held int64
}

// take gives an answer that holds own bytes room for n more. No answer gets more
// than it leaves to others, so that those without end can't shut the rest out.
func (r *ration) take(limit, own, n int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if own+n > limit-r.held-n {
		return false
	}
	r.held += n
	return true
}

// give takes n bytes back.
func (r *ration) give(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held -= n
}

// body is an answer's body, in pieces that are never copied.
type body struct {
	relayer *Relayer
	pieces  [][]byte
	// size is what was read, and held the room for it, in bytes.
	size int64
	held int64
}

// fill reads the whole body.
func (b *body) fill(r io.Reader) error {
	limit := b.relayer.HeldBytes
	if limit <= 0 {
		limit = heldDefault
	}
	for room := int64(firstPiece); ; room = min(2*room, lastPiece) {
		if b.size > answerLimit || !b.relayer.ration.take(limit, b.held, room) {
			return errTooLarge
		}
		b.held += room
		err := b.add(r, make([]byte, room))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// add reads one piece; io.EOF is the end of a whole body.
func (b *body) add(r io.Reader, piece []byte) error {
	n := 0
	var err error
	for n < len(piece) && err == nil {
		var m int
		m, err = r.Read(piece[n:])
		n += m
	}
	b.pieces = append(b.pieces, piece[:n])
	b.size += int64(n)
	return err
}

// WriteTo writes the body to w.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for _, p := range b.pieces {
		n, err := w.Write(p)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// drop gives the body's room back.
func (b *body) drop() {
	b.relayer.ration.give(b.held)
	b.held = 0
	b.pieces = nil
}
