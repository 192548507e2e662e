package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// result is what a client got to one request.
type result struct {
	// client is the number of the client.
	client int
	id     string
	sent   time.Time
	ended  time.Time
	status int
	stamp  string
	body   int
	err    error
}

// served reports whether the answer is a runner's success.
func (r *result) served() bool {
	return r.err == nil && r.status == http.StatusOK && r.stamp != ""
}

func (r *result) String() string {
	if r.err != nil {
		return fmt.Sprintf("request %s: no complete answer after %d ms: %v", r.id, r.ended.Sub(r.sent).Milliseconds(), r.err)
	}
	return fmt.Sprintf("request %s: status %d, stamp %q, %d bytes after %d ms", r.id, r.status, r.stamp, r.body, r.ended.Sub(r.sent).Milliseconds())
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

const (
	// connectLimit is how long clients allow a new connection to take.
	connectLimit = time.Second
	// sheetDeadline is how long a client of the plain service waits.
	sheetDeadline = 1500 * time.Millisecond
)

// getSheet sends one ordinary idempotent request over a new connection.
func getSheet(address string) result {
	return get(address, sheetPath+"2f")
}

// get sends a request without a body over a new connection.
func get(address, target string) result {
	r := result{id: newID(), sent: time.Now()}
	r.err = r.get(address, target)
	r.ended = time.Now()
	return r
}

func (r *result) get(address, target string) error {
	c, err := net.DialTimeout("tcp", address, connectLimit)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(r.sent.Add(sheetDeadline))
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\nConnection: close\r\n\r\n",
		target, host, r.id, sheetDeadline.Milliseconds(), apiKey)
	if err != nil {
		return err
	}
	r.read(c)
	return r.err
}

// read reads the answer.
func (r *result) read(c net.Conn) {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	r.status, r.stamp, r.body, r.err = res.StatusCode, res.Header.Get("X-Server-Stamp"), int(n), err
}
