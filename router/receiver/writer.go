package receiver

import (
	"net/http"

	"heatherhold.dev/router/publisher"
)

// heldWriter holds the header of a response back until the first byte of the body, so that another
// response may still replace it. It asks the caller to close its connection if a planned stop has begun
// by then.
type heldWriter struct {
	http.ResponseWriter
	publisher *publisher.Publisher
	// status is the status of the response, 0 until it is known.
	status int
	// sent is set once the header was written.
	sent bool
}

// WriteHeader sets the status of the response.
func (w *heldWriter) WriteHeader(status int) {
	w.status = status
}

// Write writes a part of the body.
func (w *heldWriter) Write(p []byte) (int, error) {
	w.sendHeader()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written.
func (w *heldWriter) FlushError() error {
	w.sendHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *heldWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// sendHeader writes the header unless that was done before.
func (w *heldWriter) sendHeader() {
	if w.sent {
		return
	}
	w.sent = true
	if w.publisher.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
}

// reset drops the header of a response. It must not have been sent.
func (w *heldWriter) reset() {
	clear(w.Header())
	w.status = 0
}
