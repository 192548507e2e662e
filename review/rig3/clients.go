package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns a new request id.
func newID(kind string) string { return fmt.Sprintf("%s-%06d", kind, lastID.Add(1)) }

// result is what a client saw of one attempt.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s: status %d, %v, after %d ms", r.id, r.status, r.err, r.took.Milliseconds())
	}
	return fmt.Sprintf("%s: %d, %d bytes, after %d ms", r.id, r.status, len(r.body), r.took.Milliseconds())
}

// request is one attempt of a client.
type request struct {
	method, path string
	deadline     time.Duration
	header       map[string]string
	body         string
}

func lookup(path string) request {
	return request{method: "GET", path: readPrefix + path, deadline: 1500 * time.Millisecond}
}

func commit(path, body string) request {
	return request{method: "POST", path: orderPrefix + path, deadline: 1500 * time.Millisecond, body: body}
}

func draft(path string, events int) request {
	return request{method: "POST", path: draftPrefix + path, deadline: 20 * time.Second, body: "a draft", header: map[string]string{
		"X-Model": "words-1", "X-Token-Count": fmt.Sprintf("300,%d", 3*events), "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:260",
	}}
}

// text returns the request as it is sent.
func (q request) text(id string, tenant int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", q.method, q.path, host, id, q.deadline.Milliseconds(), tenantKey(tenant))
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// send sends one attempt over a new connection.
func send(address string, q request) result {
	id := newID("r")
	out := result{id: id}
	began := time.Now()
	defer func() { out.took = time.Since(began) }()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.err = err
		out.took = time.Since(began)
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(q.deadline))
	if _, err := c.Write([]byte(q.text(id, 0))); err != nil {
		out.err = err
		out.took = time.Since(began)
		return out
	}
	return readAnswer(bufio.NewReader(c), out, q.method, began)
}

func readAnswer(in *bufio.Reader, out result, method string, began time.Time) result {
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		out.err = err
		out.took = time.Since(began)
		return out
	}
	out.status = res.StatusCode
	out.header = res.Header
	if res.Close {
		out.header.Set("Connection", "close")
	}
	data, err := io.ReadAll(res.Body)
	out.body = string(data)
	out.err = err
	out.took = time.Since(began)
	return out
}
