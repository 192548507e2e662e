// Package faulter makes an HTTP handler fail on demand, for tests.
package faulter

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fault is what happens to requests whose path has a given prefix.
type Fault struct {
	// Path is the prefix; the longest that fits a request counts.
	Path string `json:"path"`
	// DelayMS holds each request back, in milliseconds.
	DelayMS int64 `json:"delay-ms"`
	// Outage answers 503 before anything is done.
	Outage bool `json:"outage"`
	// LoseAnswers closes the connection after the request took effect.
	LoseAnswers bool `json:"lose-answers"`
	// Silence takes requests and never answers.
	Silence bool `json:"silence"`
}

// Faulter wraps a handler. Its zero value passes everything on.
type Faulter struct {
	Handler http.Handler

	mu     sync.Mutex
	faults map[string]Fault
}

// ServeHTTP serves PUT /faults itself and lets the rest meet its fault.
func (f *Faulter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		f.set(w, r)
		return
	}
	fault := f.find(r.URL.Path)
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	switch {
	case fault.Silence:
		<-r.Context().Done()
	case fault.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case fault.LoseAnswers:
		f.Handler.ServeHTTP(&discard{}, r)
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

func (f *Faulter) find(path string) Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best Fault
	for prefix, fault := range f.faults {
		if strings.HasPrefix(path, prefix) && len(prefix) >= len(best.Path) {
			best = fault
		}
	}
	return best
}

// discard is a ResponseWriter whose answer goes nowhere.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header {
	if d.header == nil {
		d.header = make(http.Header)
	}
	return d.header
}

func (d *discard) Write(p []byte) (int, error) { return len(p), nil }

func (d *discard) WriteHeader(int) {}
