package receiver

import (
	"net/http"

	"heatherhold.dev/router/publisher"
)

// closingWriter asks the caller to close its connection if a planned stop has begun when the header
// of the response is written.
type closingWriter struct {
	http.ResponseWriter
	publisher *publisher.Publisher
	// started is set once a part of a response was sent.
	started bool
}

// WriteHeader writes the header of the response.
func (w *closingWriter) WriteHeader(status int) {
	w.started = true
	if w.publisher.Stopping() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
