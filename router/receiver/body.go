package receiver

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/router/limiter"
)

// setBodyDeadline sets the read deadline for the request body. Refused requests
// need it too: net/http reads an unread body before it sends the response. At
// the end of the body net/http clears the deadline.
func setBodyDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.ContentLength != 0 {
		// A writer without a connection doesn't support deadlines and needs none.
		_ = http.NewResponseController(w).SetReadDeadline(deadline)
	}
}

// readBodyUntil reads a request body of at most limit bytes, until ctx ends.
func (x *Receiver) readBodyUntil(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	stop := context.AfterFunc(ctx, func() { endReads(w) })
	data, err := x.readBody(w, r, limit)
	if !stop() && errors.Is(context.Cause(ctx), classifier.ErrStopping) {
		return nil, classifier.NewStopping(err)
	}
	return data, err
}

// endReads ends reads of the request body, those in progress too.
func endReads(w http.ResponseWriter) {
	// A writer without a connection doesn't support deadlines and needs none.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// unwrap returns the writer of net/http itself: only that one closes the connection after a body that
// exceeds the limit of MaxBytesReader.
func unwrap(w http.ResponseWriter) http.ResponseWriter {
	if u, ok := w.(interface{ Unwrap() http.ResponseWriter }); ok {
		return u.Unwrap()
	}
	return w
}

// readBody reads a request body of at most limit bytes; 0 means no limit.
func (x *Receiver) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if !x.Bodies.CheckLength(r.ContentLength, limit) {
		return nil, newTooLarge(limit)
	}
	if err := x.Bodies.CheckRoom(r.ContentLength, limit); err != nil {
		return nil, err
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(unwrap(w), r.Body, limit)
	}
	data, err := x.Bodies.Read(r.Body, limit, func() { endReads(w) })
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case err == nil:
		return data, nil
	case errors.Is(err, limiter.ErrBodyDropped):
		return nil, err
	case errors.As(err, &tooLarge):
		return nil, newTooLarge(limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.New(classifier.TooSlow, "the request body did not arrive in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return nil, classifier.Wrap(classifier.Cancelled, err, "the caller disconnected before the request body was complete")
	}
	return nil, classifier.Wrap(classifier.BadRequest, err, "the request body is malformed")
}

func newTooLarge(limit int64) error {
	return classifier.New(classifier.TooLarge, "the request body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}
