package receiver

import (
	"net/http"
	"strconv"

	"heatherhold.dev/core/classifier"
)

// checkHeaderSize checks the size of the request line and of the header fields
// against limit, in bytes; 0 means no limit. The two are checked separately, so
// that no request within the limit is refused, whether or not the limit is meant to
// include the request line.
func checkHeaderSize(r *http.Request, limit int) error {
	if limit <= 0 || (requestLineSize(r) <= limit && headerFieldsSize(r) <= limit) {
		return nil
	}
	return classifier.New(classifier.HeaderTooLarge, "the request line or the header fields are larger than "+strconv.Itoa(limit)+" bytes")
}

// requestLineSize returns the size of the request line, in bytes.
func requestLineSize(r *http.Request) int {
	return len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
}

// headerFieldsSize returns the minimum size of the header fields as sent, in
// bytes. It adds the Host field, which net/http removes from r.Header.
func headerFieldsSize(r *http.Request) int {
	const overhead = len(": \r\n")
	n := len("Host") + len(r.Host) + overhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + overhead
		}
	}
	return n
}
