package receiver

import (
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
)

// bodyUntil sets until when a request's body is waited for, also one that a
// refusal leaves unread: net/http reads it before it answers. With the body's
// end net/http takes the deadline off.
func bodyUntil(w http.ResponseWriter, r *http.Request, end time.Time) {
	if r.ContentLength != 0 {
		// A writer that has no connection can't do so and need not.
		_ = http.NewResponseController(w).SetReadDeadline(end)
	}
}

// body reads a request's body, of at most limit bytes; 0 is no limit.
func body(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	data, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	var network net.Error
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &large):
		return nil, classifier.New(classifier.TooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.New(classifier.TooSlow, "the body did not come in time")
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return nil, classifier.Wrap(classifier.Cancelled, err, "the caller went away before the body was whole")
	}
	return nil, classifier.Wrap(classifier.BadRequest, err, "the body is broken")
}
