package exchanger_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"heatherhold.dev/router/exchanger"
)

// TestImpossibleStatusTakenForResponse guards against a response with a status that none has, of
// an endpoint in trouble: it is neither passed on nor waited for.
func TestImpossibleStatusTakenForResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for name, after := range map[string]string{
			"open":           "",
			"valid response": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nother",
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				e := newEndpoint(t, func(_ int64, c net.Conn, r *bufio.Reader) {
					fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: %s\r\nContent-Length: 2\r\n\r\nok%s", status, readRequest(r), after)
					// The connection stays open until the other side closes it.
					_, _ = io.Copy(io.Discard, r)
				})
				start := time.Now()
				body, err := get(t, newExchanger(), newRequest(e, "a"))
				if !errors.Is(err, exchanger.ErrLost) {
					t.Errorf("got body %q and error %v, want %v", body, err, exchanger.ErrLost)
				}
				if got, want := time.Since(start), 200*time.Millisecond; got > want {
					t.Errorf("got the error after %v, want it within %v", got, want)
				}
			})
		}
	}
}
