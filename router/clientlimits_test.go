package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherhold.dev/platform/faker"
)

const (
	// The limits that the settings or the configuration of these tests set.
	testBodyLimit   = 1 << 20
	testHeaderLimit = 16 << 10
	// attemptTimeout limits one attempt of the ordinary request.
	attemptTimeout = 2 * time.Second
	// writeSize is the size of one write of a client that sends much.
	writeSize = 64 << 10
)

// edge is one of the two interfaces for callers, served by a process of its own.
type edge struct {
	*process
	address string
	// head returns the head of a POST request with a body, with extra header fields.
	head func(extra ...string) string
	// get is a whole request without a body, after which the connection stays open.
	get string
	// checkOrdinary sends one ordinary request over a new connection.
	checkOrdinary func() error
	// maxMemory is the bound of the process's memory, in bytes.
	maxMemory int64
	// clients is the number of clients of each group.
	clients int
}

// buildWithDescriptorLimit builds a router without the race detector, which would multiply
// the memory, and returns the name of a program that runs it with a limit of descriptors.
func buildWithDescriptorLimit(t *testing.T, descriptors int) string {
	t.Helper()
	plain := filepath.Join(binDir, "norace")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", plain+"/", "../router")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	name := fmt.Sprintf("router-%d", descriptors)
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s/router \"$@\"\n", descriptors, plain)
	if err := os.WriteFile(filepath.Join(binDir, name), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	return name
}

// newStoreEdge starts a router on the users' platform that may use 64 MB of memory.
func newStoreEdge(t *testing.T, descriptors int) *edge {
	t.Helper()
	store, client := faker.New(t)
	s := &storeSystem{
		system: &system{
			t:   t,
			dir: t.TempDir(),
		},
		router: &router{
			caller:   freeAddress(t),
			operator: freeAddress(t),
			peer:     freeAddress(t),
		},
		store: store,
		ready: freeAddress(t),
	}
	limits := fmt.Sprintf(`"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":60000,"idle_timeout_ms":120000}}`, testHeaderLimit, testBodyLimit)
	before, _, _ := strings.Cut(storeConfiguration, `"limits"`)
	store.Write("op", "config", before+limits)
	s.addEndpoint("i-1", "orders", func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	s.settings = filepath.Join(s.dir, "router.toml")
	if err := os.WriteFile(s.settings, []byte(s.storeSettings(client.Address, 500*time.Millisecond, 5*time.Second)+"memory-mb = 64\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = s.start("r1", buildWithDescriptorLimit(t, descriptors), "--settings", s.settings)
	eventually(t, "the router is ready", s.checkReady)
	return &edge{
		process: s.process,
		address: s.caller,
		head: func(extra ...string) string {
			return header("POST", "/again/x", extra...)
		},
		get: header("GET", "/again/x"),
		checkOrdinary: func() error {
			return checkStatus(t, s.caller, header("POST", "/again/x", "Content-Length: 5", "Connection: close")+"plate", http.StatusOK)
		},
		maxMemory: 64 << 20,
		clients:   128,
	}
}

// newOwnEdge starts a router with the project's own interface.
func newOwnEdge(t *testing.T, descriptors int) *edge {
	t.Helper()
	s := &system{
		t:        t,
		dir:      t.TempDir(),
		engines:  make(map[string]*process),
		services: make(map[string]*process),
		routers:  make(map[string]*router),
	}
	s.platform = s.start("platform", "standin", "platform", "--listen", freeAddress(t), "--expiry", "2s")
	s.platform.address = s.platform.cmd.Args[3]
	s.services["s1"] = s.startService("s1")
	r := &router{
		caller:   freeAddress(t),
		operator: freeAddress(t),
		peer:     freeAddress(t),
		settings: filepath.Join(s.dir, "r1.toml"),
	}
	s.routers["r1"] = r
	limits := fmt.Sprintf("body-timeout = \"60s\"\nbody-limit = %d\nheader-limit = %d", testBodyLimit, testHeaderLimit)
	settings := strings.Replace(s.routerSettings("r1", r), `body-timeout = "500ms"`, limits, 1)
	if err := os.WriteFile(r.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	r.process = s.start("r1", buildWithDescriptorLimit(t, descriptors), "--settings", r.settings)
	s.apply(0, declarations())
	s.awaitReady(0)
	head := func(extra ...string) string {
		fields := append([]string{"POST /v1/completions HTTP/1.1", "Host: h", "Authorization: Bearer " + councilKey}, extra...)
		return strings.Join(fields, "\r\n") + "\r\n\r\n"
	}
	orders := 0
	return &edge{
		process: r.process,
		address: r.caller,
		head:    head,
		get:     "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + councilKey + "\r\n\r\n",
		checkOrdinary: func() error {
			orders++
			request := strings.Join([]string{"POST /services/orders/orders HTTP/1.1", "Host: h", "Authorization: Bearer " + councilKey,
				"Idempotency-Key: k-" + strconv.Itoa(orders), "Content-Length: 5", "Connection: close", "", "plate"}, "\r\n")
			return checkStatus(t, r.caller, request, http.StatusCreated)
		},
		maxMemory: 256 << 20,
		clients:   400,
	}
}

// checkStatus sends a request over a new connection and checks the status of the answer.
func checkStatus(t *testing.T, address, request string, want int) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(attemptTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	if got := readAnswer(c); got.status != want || got.err != nil {
		return fmt.Errorf("got status %d, body %s, error %w, want %d", got.status, got.body, got.err, want)
	}
	return nil
}

// client is one connection of a group. Its methods ignore errors: the router may close the
// connection whenever it likes.
type client struct {
	net.Conn
	index int
}

// repeat writes piece until size bytes are written, or the router doesn't take them any more.
func (c *client) repeat(piece string, size int) {
	block := strings.Repeat(piece, max(writeSize/len(piece), 1))
	for sent := 0; sent < size; sent += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
	}
}

// complete reports whether the client is one of the few that end their bodies.
func (c *client) complete() bool {
	return c.index%8 == 0
}

// clientGroup is what each client of a group sends before it stays silent with an open connection.
type clientGroup struct {
	name string
	// descriptors is the process's limit; 0 means 1024.
	descriptors int
	// clients is the number of clients; 0 means that of the edge.
	clients int
	send    func(e *edge, c *client)
}

var clientGroups = []clientGroup{
	{name: "BodyOverAnnouncedLimit", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Content-Length: "+strconv.Itoa(1<<30)))
		c.repeat("x", 4*testBodyLimit)
	}},
	{name: "BodyOverLimitInChunks", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Transfer-Encoding: chunked"))
		c.repeat("1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n", 4*testBodyLimit)
	}},
	{name: "BodyWithLengthStopsShort", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Content-Length: "+strconv.Itoa(testBodyLimit)))
		c.repeat("x", testBodyLimit-writeSize)
		io.WriteString(c, strings.Repeat("x", writeSize-1))
		if c.complete() {
			io.WriteString(c, "x")
		}
	}},
	{name: "BodyInLargeChunksStopsShort", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Transfer-Encoding: chunked"))
		c.repeat("fff4\r\n"+strings.Repeat("x", 0xfff4)+"\r\n", testBodyLimit-2*writeSize)
		if c.complete() {
			io.WriteString(c, "0\r\n\r\n")
		}
	}},
	{name: "BodyInOneByteChunksStopsShort", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Transfer-Encoding: chunked"))
		const piece = "1\r\nx\r\n"
		c.repeat(piece, len(piece)*testBodyLimit*7/8)
		if c.complete() {
			io.WriteString(c, "0\r\n\r\n")
		}
	}},
	{name: "HeadOverLimit", send: func(e *edge, c *client) {
		io.WriteString(c, strings.TrimSuffix(e.head(), "\r\n")+"Long: ")
		c.repeat("x", testBodyLimit*7/8)
	}},
	{name: "EndlessHeader", send: func(e *edge, c *client) {
		io.WriteString(c, strings.TrimSuffix(e.head(), "\r\n")+"Long: ")
		c.repeat("x", 4<<20)
	}},
	{name: "ManyHeaders", send: func(e *edge, c *client) {
		io.WriteString(c, strings.TrimSuffix(e.head(), "\r\n"))
		for i := range 20_000 {
			if _, err := fmt.Fprintf(c, "h%d-%d:%s\r\n", c.index, i, strings.Repeat("x", 30)); err != nil {
				return
			}
		}
	}},
	{name: "EndlessRequestLine", send: func(_ *edge, c *client) { c.repeat("x", testBodyLimit*7/8) }},
	{name: "EndlessEmptyLines", send: func(e *edge, c *client) {
		io.WriteString(c, e.get)
		c.repeat("\r\n", 4<<20)
	}},
	{name: "EndlessChunkExtension", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Transfer-Encoding: chunked")+"1;")
		c.repeat("x", 4<<20)
	}},
	{name: "EndlessTrailer", send: func(e *edge, c *client) {
		io.WriteString(c, e.head("Transfer-Encoding: chunked", "Trailer: Long")+"1\r\nx\r\n0\r\nLong: ")
		c.repeat("x", 4<<20)
	}},
	{name: "ManyIdleConnections", descriptors: 256, clients: 400, send: func(e *edge, c *client) {
		c.SetDeadline(time.Now().Add(attemptTimeout))
		io.WriteString(c, e.get)
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			res.Body.Close()
		}
	}},
}

// TestClientLimitsStore guards against clients that use up the memory or the descriptors of an
// instance on the users' platform.
func TestClientLimitsStore(t *testing.T) {
	checkClientGroups(t, newStoreEdge)
}

// TestClientLimitsOwn guards against clients that use up the memory or the descriptors of an
// instance with the project's own interface.
func TestClientLimitsOwn(t *testing.T) {
	checkClientGroups(t, newOwnEdge)
}

// checkClientGroups has each group of clients send to a new process. It checks that the process
// goes on, within its bounds, and answers one ordinary request while the clients are connected.
func checkClientGroups(t *testing.T, newEdge func(*testing.T, int) *edge) {
	for _, group := range clientGroups {
		t.Run(group.name, func(t *testing.T) {
			descriptors := group.descriptors
			if descriptors == 0 {
				descriptors = 1024
			}
			e := newEdge(t, descriptors)
			if group.clients > 0 {
				e.clients = group.clients
			}
			var senders sync.WaitGroup
			for i := range e.clients {
				c, err := net.Dial("tcp", e.address)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(waitLimit))
				senders.Go(func() {
					group.send(e, &client{
						Conn:  c,
						index: i,
					})
				})
			}
			senders.Wait()
			eventually(t, "ordinary request", e.checkOrdinary)
			select {
			case <-e.done:
				t.Fatal("the process ended")
			default:
			}
			pid := e.cmd.Process.Pid
			memory, open := peakMemory(t, pid), openDescriptors(t, pid)
			t.Logf("peak memory %d MB, descriptors %d", memory>>20, open)
			if memory > e.maxMemory {
				t.Errorf("got a peak memory of %d bytes, want at most %d", memory, e.maxMemory)
			}
			if want := descriptors * 3 / 4; open > want {
				t.Errorf("got %d descriptors, want at most %d", open, want)
			}
		})
	}
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	var kilobytes int64
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// openDescriptors returns the number of descriptors that the process has open.
func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
