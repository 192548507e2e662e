package receiver_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/publisher"
)

// TestHalfClosedCallerCountsAsGone requires that the endpoint's work ends with a caller that has closed
// its sending side: it can't be told from one that has gone.
func TestHalfClosedCallerCountsAsGone(t *testing.T) {
	arrived := make(chan bool, 1)
	ended := make(chan bool, 1)
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-r.Context().Done()
		ended <- true
	}))
	defer endpoint.Close()
	defer endpoint.CloseClientConnections()
	x, logOutput := newReceiver(nil)
	x.Codec, x.Proxier.Codec = longTimeoutCodec{}, codec{}
	x.Proxier.Exchanger.DialTimeout = time.Second
	x.Publisher.Publish(&publisher.View{
		Revision: 3,
		Site:     newSite(),
		Fleet: map[identifier.Service][]cataloguer.Endpoint{"s": {{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    "e1",
				Incarnation: 1,
			},
			Service: "s",
			Address: strings.TrimPrefix(endpoint.URL, "http://"),
		}}},
	})
	conn, closeAll := dial(t, x)
	fmt.Fprint(conn, "GET /orders/1 HTTP/1.1\r\nHost: h.example\r\nKey: k\r\n\r\n")
	<-arrived
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); len(got) > 0 || err != nil {
		t.Errorf("got %q, error %v; want the connection to be closed", got, err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the endpoint still works for the caller")
	}
	closeAll()
	if want := "caller went away"; !strings.Contains(logOutput.String(), want) {
		t.Errorf("got log %s, want %s in it", logOutput, want)
	}
}
