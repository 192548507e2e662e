// Package faulter injects faults into an HTTP handler, for tests.
package faulter

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that is injected into requests whose path has a given prefix.
type Fault struct {
	// Path is the prefix. If several prefixes match a request, the longest applies.
	Path string `json:"path"`
	// DelayMS is a delay before each request is handled, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// Outage responds with status 503 without calling the handler.
	Outage bool `json:"outage"`
	// LoseResponses calls the handler and then closes the connection without a
	// response.
	LoseResponses bool `json:"lose-answers"`
	// NoResponse accepts requests but never calls the handler or responds.
	NoResponse bool `json:"silence"`
}

// Faulter wraps a handler. Without faults it passes all requests to Handler.
type Faulter struct {
	Handler http.Handler

	mu     sync.Mutex
	faults map[string]Fault
}

// ServeHTTP handles PUT /faults by setting the fault in the request's body. It
// handles all other requests with the fault that applies to their path.
func (f *Faulter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		f.set(w, r)
		return
	}
	fault := f.faultFor(r.URL.Path)
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	switch {
	case fault.NoResponse:
		<-r.Context().Done()
	case fault.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case fault.LoseResponses:
		f.Handler.ServeHTTP(&discardWriter{}, r)
		panic(http.ErrAbortHandler)
	default:
		f.Handler.ServeHTTP(w, r)
	}
}

func (f *Faulter) set(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(fault)
}

// Set replaces the fault of one path prefix.
func (f *Faulter) Set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults == nil {
		f.faults = make(map[string]Fault)
	}
	f.faults[fault.Path] = fault
}

// faultFor returns the fault with the longest prefix of path.
func (f *Faulter) faultFor(path string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest Fault
	for prefix, fault := range f.faults {
		if strings.HasPrefix(path, prefix) && len(prefix) >= len(longest.Path) {
			longest = fault
		}
	}
	return longest
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func (d *discardWriter) WriteHeader(int) {}
