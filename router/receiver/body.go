package receiver

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
)

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
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return nil, classifier.Wrap(classifier.Cancelled, err, "the caller went away before the body was whole")
	}
	return nil, classifier.Wrap(classifier.BadRequest, err, "the body is broken")
}
