package receiver_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"heatherhold.dev/core/courier"
)

// panickingCodec panics in the parsing of a request.
type panickingCodec struct{ codec }

func (panickingCodec) DecodeRequest(*http.Request) (*courier.Request, error) {
	panic("test")
}

// TestPanicClosesConnectionWithoutAnswer guards against a request that ends without an answer and
// without a log line of its own because a handler panicked.
func TestPanicClosesConnectionWithoutAnswer(t *testing.T) {
	x, logOutput := newReceiver(newSite())
	x.Codec = panickingCodec{}
	conn, closeAll := dial(t, x)
	fmt.Fprint(conn, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nContent-Length: 1\r\n\r\na")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		closeAll()
		t.Fatal(err)
	}
	if got, want := res.StatusCode, http.StatusInternalServerError; got != want || !res.Close {
		t.Errorf("got status %d, close %v; want %d and Connection: close", got, res.Close, want)
	}
	closeAll()
	if want := "handler panicked"; !strings.Contains(logOutput.String(), want) {
		t.Errorf("got log %s, want %s in it", logOutput, want)
	}
}
