package limiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/reporter"
)

// connectionServer is a server with a limit of connections.
type connectionServer struct {
	connections *limiter.Connections
	address     string
	// proceed lets requests end whose path is /held.
	proceed chan struct{}
	held    chan struct{}
}

func newConnectionServer(t *testing.T, limit int) *connectionServer {
	t.Helper()
	s := &connectionServer{
		connections: limiter.NewConnections(),
		proceed:     make(chan struct{}),
		held:        make(chan struct{}, limit),
	}
	s.connections.Max = limit
	s.connections.Reporter = reporter.New(nil)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s.connections.Log = log
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/closes" {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if r.URL.Path != "/refuses" {
			io.Copy(io.Discard, r.Body)
		}
		if r.URL.Path == "/held" {
			s.held <- struct{}{}
			<-s.proceed
		}
	})}
	s.connections.Attach(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	var group sync.WaitGroup
	group.Go(func() { server.Serve(s.connections.Listen(l)) })
	t.Cleanup(func() {
		server.Close()
		group.Wait()
	})
	return s
}

func (s *connectionServer) dial(t *testing.T, request string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(c, request)
	return c
}

// requireDropped requires that n connections were closed for the reason.
func (s *connectionServer) requireDropped(t *testing.T, reason string, n int) {
	t.Helper()
	waitFor(t, func() string {
		var b strings.Builder
		s.connections.Reporter.Write(&b)
		return b.String()
	}, fmt.Sprintf("heatherhold_connections_dropped_total{reason=%q} %d\n", reason, n))
}

// requireClosed requires that the server has closed the connection without a response.
func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("got %d bytes, error %v, want the connection to be closed", n, err)
	}
}

const heldRequest = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"

// TestConnectionWithRequestIsKept guards against closing a connection whose request is served, or one
// that is less idle than another, in favour of a new one.
func TestConnectionWithRequestIsKept(t *testing.T) {
	s := newConnectionServer(t, 3)
	serving := s.dial(t, heldRequest)
	<-s.held
	idle := s.dial(t, completeRequest)
	requireStatusOK(t, idle)
	header := s.dial(t, "GET /a HTTP/1.1\r\nHo")
	// The server must have read the beginning of the header before the next connection comes.
	time.Sleep(50 * time.Millisecond)
	second := s.dial(t, heldRequest)
	<-s.held
	s.requireDropped(t, "idle", 1)
	requireClosed(t, idle)
	third := s.dial(t, heldRequest)
	<-s.held
	s.requireDropped(t, "header", 1)
	requireClosed(t, header)
	refused := s.dial(t, completeRequest)
	s.requireDropped(t, "new", 1)
	requireClosed(t, refused)
	close(s.proceed)
	for _, c := range []net.Conn{serving, second, third} {
		requireStatusOK(t, c)
	}
	requireStatusOK(t, s.dial(t, completeRequest))
}

// requireStatusOK requires a response with status 200.
func requireStatusOK(t *testing.T, c net.Conn) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if got, want := res.StatusCode, http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// TestClosedConnectionsAreNotCounted guards against a limit that fills up with connections that are
// closed already.
func TestClosedConnectionsAreNotCounted(t *testing.T) {
	s := newConnectionServer(t, 8)
	for range 50 {
		c := s.dial(t, completeRequest)
		requireStatusOK(t, c)
		c.Close()
	}
	waitFor(t, func() string { return fmt.Sprint(s.connections.Len()) }, "0")
}

// TestUnfinishedBodiesTakeAllConnections guards against refusing all new connections because those that are open
// wait for the end of a body, whether the handler reads it or has refused the request. A request that is
// complete is kept.
func TestUnfinishedBodiesTakeAllConnections(t *testing.T) {
	const limit = 6
	for _, path := range []string{"/reads", "/refuses"} {
		t.Run(path, func(t *testing.T) {
			s := newConnectionServer(t, limit)
			serving := s.dial(t, "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
			<-s.held
			var stalled []net.Conn
			for range 3 * limit {
				stalled = append(stalled, s.dial(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"))
				requireStatusOK(t, s.dial(t, strings.Replace(completeRequest, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)))
			}
			requireClosed(t, stalled[0])
			close(s.proceed)
			requireStatusOK(t, serving)
		})
	}
}

// TestRefusalResetWithUnreadBody guards against resetting a connection right after a refusal while its caller
// still sends the body: the caller may be told of the reset before it has read the refusal.
func TestRefusalResetWithUnreadBody(t *testing.T) {
	s := newConnectionServer(t, 8)
	c := s.dial(t, "POST /closes HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n")
	for range 5 {
		if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
			t.Fatalf("got %v while the body was sent, want the refusal first", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if got, want := res.StatusCode, http.StatusRequestEntityTooLarge; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
