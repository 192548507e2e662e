package receiver

import (
	"net/http"
	"strconv"

	"heatherhold.dev/core/classifier"
)

// head checks a request's head against the limit, in bytes; 0 is no limit. The
// first line and the header fields are held to it each by themselves, so that a
// head within the limit passes whether or not the first line counts.
func head(r *http.Request, limit int) error {
	if limit <= 0 || (firstLine(r) <= limit && fields(r) <= limit) {
		return nil
	}
	return classifier.New(classifier.HeaderTooLarge, "the head is larger than "+strconv.Itoa(limit)+" bytes")
}

// firstLine returns the size of the request's first line.
func firstLine(r *http.Request) int {
	return len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n")
}

// fields returns the size of the header fields as they are sent, at the least;
// net/http takes the host out of them.
func fields(r *http.Request) int {
	const around = len(": \r\n")
	n := len("Host") + len(r.Host) + around
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + around
		}
	}
	return n
}
