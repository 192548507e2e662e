package limiter

import (
	"container/list"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/router/reporter"
)

const (
	// minBodyChunk and maxBodyChunk are the sizes of the smallest and the largest chunk of an
	// unfinished body, in bytes.
	minBodyChunk = 2 << 10
	maxBodyChunk = 32 << 10
	// sameTime is the difference up to which the last bytes of two bodies count as received at
	// the same time. Among those the largest body is dropped.
	sameTime = time.Millisecond
	// heldFactor is how much memory the complete bodies of requests in service may take, as a multiple of
	// Limit.
	heldFactor = 2
	// smallBody is the size in bytes up to which a complete body is held in any case: nearly all requests
	// are that small, and a caller of one must not lose against those that send large ones.
	smallBody = 16 << 10
	// bodyRetryAfter is the suggested retry delay of a request whose body was dropped. The caller
	// sent nothing for longer than all others, so it is not expected back at once.
	bodyRetryAfter = time.Second
)

// ErrBodyDropped is the cause of the error for a body that was dropped because the memory for
// unfinished bodies is full.
var ErrBodyDropped = errors.New("the memory for unfinished request bodies is full")

// newBodyDropped returns the error for a body that was dropped. The request has not run.
func newBodyDropped() error {
	return &classifier.Error{
		Kind:       classifier.Overloaded,
		Detail:     "the instance has no memory for the request body",
		RetryAfter: bodyRetryAfter,
		Wrapped:    ErrBodyDropped,
	}
}

// newBodyRefused returns the error for a body that is not held. The request has not run.
func newBodyRefused() error {
	return &classifier.Error{
		Kind:       classifier.Overloaded,
		Detail:     "the instance has no memory for another large request body",
		RetryAfter: bodyRetryAfter,
	}
}

// Bodies reads request bodies and limits the memory of all unfinished ones together. If it is
// exceeded, the body that has gone longest without receiving a byte is dropped. It also limits the
// memory of the complete ones whose requests are in service: beyond it, large ones are refused. Create it
// with NewBodies and set the exported fields before use.
type Bodies struct {
	// Limit is in bytes. Twice the largest body that a request may have is always allowed.
	Limit    int64
	Reporter *reporter.Reporter
	Log      logrus.FieldLogger

	logLimiter *rate.Limiter

	mu sync.Mutex
	// reserved is the memory of all bodies that are being read, and held that of the complete ones
	// whose requests are in service, in bytes.
	reserved, held int64
	// unfinished has the bodies that may be dropped, in the order of their last bytes.
	unfinished *list.List
}

// NewBodies returns a Bodies whose exported fields are not set.
func NewBodies() *Bodies {
	return &Bodies{
		logLimiter: rate.NewLimiter(logRate, logBurst),
		unfinished: list.New(),
	}
}

// body is a request body that is being read. Its fields are guarded by Bodies.mu.
type body struct {
	// interrupt ends a read in progress.
	interrupt func()
	// element is the body's place among the unfinished ones; nil before its first byte and once
	// it is complete or dropped.
	element *list.Element
	// reserved is in bytes.
	reserved int64
	lastByte time.Time
	dropped  bool
}

// Reserved returns the memory of the bodies that are being read, in bytes.
func (x *Bodies) Reserved() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reserved
}

// Held returns the memory of the complete bodies whose requests are in service, in bytes.
func (x *Bodies) Held() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.held
}

// CheckRoom returns an error of kind overloaded if a body of n bytes, -1 if that is not known, can't be held
// now. The caller allows at most largest bytes.
func (x *Bodies) CheckRoom(n, largest int64) error {
	if x == nil {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.checkRoomLocked(n, largest)
}

func (x *Bodies) checkRoomLocked(n, largest int64) error {
	if n <= smallBody || x.held+n <= max(heldFactor*x.Limit, 2*largest) {
		return nil
	}
	x.Reporter.CountBodyDropped(bodyNotHeld)
	if x.logLimiter.Allow() {
		x.Log.WithFields(logrus.Fields{
			"bytes":     n,
			"all-bytes": x.held,
		}).Warn("request refused; the memory for bodies in service is full")
	}
	return newBodyRefused()
}

// Hold counts the n bytes of a complete body until release is called, which must be done when its request
// has ended. It returns an error of kind overloaded if there is no memory for it. The caller allows at most
// largest bytes. A nil *Bodies holds all.
func (x *Bodies) Hold(n, largest int64) (release func(), err error) {
	if x == nil {
		return func() {}, nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.checkRoomLocked(n, largest); err != nil {
		return nil, err
	}
	x.held += n
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.held -= n
	}, nil
}

// Read reads the whole body r, of which the caller allows at most largest bytes; 0 means no limit.
// If the body is dropped, Read calls interrupt, which must end a read of r that is in progress, and
// returns an error of kind overloaded with the cause ErrBodyDropped. A nil *Bodies sets no limit.
func (x *Bodies) Read(r io.Reader, largest int64, interrupt func()) ([]byte, error) {
	if x == nil {
		return io.ReadAll(r)
	}
	b := &body{interrupt: interrupt}
	defer x.release(b)
	var chunks [][]byte
	chunk := make([]byte, 0, minBodyChunk)
	for size := 0; ; {
		if len(chunk) == cap(chunk) {
			chunks = append(chunks, chunk)
			next := min(max(size/2, minBodyChunk), maxBodyChunk)
			if !x.reserve(b, int64(next), largest) {
				return nil, newBodyDropped()
			}
			chunk = make([]byte, 0, next)
		}
		n, err := r.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		size += n
		if n > 0 && !x.received(b, largest) {
			return nil, newBodyDropped()
		}
		if err == nil {
			continue
		}
		if !x.finish(b) {
			return nil, newBodyDropped()
		}
		if !errors.Is(err, io.EOF) {
			return nil, err
		}
		if len(chunks) == 0 {
			return chunk, nil
		}
		return slices.Concat(append(chunks, chunk)...), nil
	}
}

// received records that bytes of b arrived now. The first chunk counts from its first byte on. It
// returns false if b was dropped.
func (x *Bodies) received(b *body, largest int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.dropped {
		return false
	}
	b.lastByte = time.Now()
	if b.element != nil {
		x.unfinished.MoveToBack(b.element)
		return true
	}
	b.element = x.unfinished.PushBack(b)
	return x.reserveLocked(b, minBodyChunk, largest)
}

// reserve reserves n more bytes for b, for which it drops other bodies or b itself. It returns
// false if b was dropped.
func (x *Bodies) reserve(b *body, n, largest int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !b.dropped && x.reserveLocked(b, n, largest)
}

func (x *Bodies) reserveLocked(b *body, n, largest int64) bool {
	b.reserved += n
	x.reserved += n
	for x.reserved > max(x.Limit, 2*(largest+maxBodyChunk)) && x.unfinished.Len() > 0 && !b.dropped {
		x.drop(x.victim())
	}
	return !b.dropped
}

// victim returns the body to drop: the one that has gone longest without receiving a byte and,
// among those, the largest. There must be one.
func (x *Bodies) victim() *body {
	first := x.unfinished.Front()
	victim := first.Value.(*body)
	oldest := victim.lastByte
	for e := first.Next(); e != nil && e.Value.(*body).lastByte.Sub(oldest) < sameTime; e = e.Next() {
		if b := e.Value.(*body); b.reserved > victim.reserved {
			victim = b
		}
	}
	return victim
}

func (x *Bodies) drop(b *body) {
	b.dropped = true
	x.Reporter.CountBodyDropped(bodyOverMemory)
	if x.logLimiter.Allow() {
		x.Log.WithFields(logrus.Fields{
			"bytes":     b.reserved,
			"silent-ms": time.Since(b.lastByte).Milliseconds(),
			"all-bytes": x.reserved,
			"bodies":    x.unfinished.Len(),
		}).Warn("request body dropped; the memory for bodies is full")
	}
	x.unfinished.Remove(b.element)
	b.element = nil
	x.reserved -= b.reserved
	b.reserved = 0
	b.interrupt()
}

// The reasons for which bodies are dropped: the memory of all unfinished ones is full, the announced length
// is over the limit of one, or the memory of those in service is full.
const (
	bodyOverMemory = "memory"
	bodyOverLength = "length"
	bodyNotHeld    = "service"
)

// CheckLength reports whether a body of the announced length, -1 if none is, may be read, of which the
// caller allows at most largest bytes; 0 means no limit. It counts those that may not.
func (x *Bodies) CheckLength(length, largest int64) bool {
	if largest <= 0 || length <= largest {
		return true
	}
	if x != nil {
		x.Reporter.CountBodyDropped(bodyOverLength)
	}
	return false
}

// finish ends the time in which b may be dropped. It returns false if b was dropped before.
func (x *Bodies) finish(b *body) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if b.element != nil {
		x.unfinished.Remove(b.element)
		b.element = nil
	}
	return !b.dropped
}

// release releases the memory of b.
func (x *Bodies) release(b *body) {
	x.finish(b)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reserved -= b.reserved
	b.reserved = 0
}
