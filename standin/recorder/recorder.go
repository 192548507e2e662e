// Package recorder is a test double of a plain service: it records orders, counts
// how often each one ran, and returns an order's status.
package recorder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const bodyLimit = 1 << 20 // bytes

// Order is one confirmed order.
type Order struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Body   string `json:"body"`
}

// Recorder serves orders. Set Delay before the call of Handler.
type Recorder struct {
	// Delay is how long the confirmation of an order takes.
	Delay time.Duration

	mu     sync.Mutex
	orders map[string]Order
	runs   map[string]int
}

// Handler resets the recorder and returns its HTTP interface.
func (c *Recorder) Handler() http.Handler {
	c.orders = make(map[string]Order)
	c.runs = make(map[string]int)
	r := mux.NewRouter()
	r.HandleFunc("/orders", c.confirm).Methods(http.MethodPost)
	r.HandleFunc("/orders/{id}", c.status).Methods(http.MethodGet)
	r.HandleFunc("/runs", c.counts).Methods(http.MethodGet)
	return r
}

func (c *Recorder) confirm(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o := c.record(string(body), r.Header.Get("Heatherhold-Request"))
	time.Sleep(c.Delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(o)
}

func (c *Recorder) record(body, request string) Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := Order{
		ID:     fmt.Sprintf("o%d", len(c.orders)+1),
		Status: "confirmed",
		Body:   body,
	}
	c.orders[o.ID] = o
	c.runs[body]++
	c.runs["request:"+request]++
	return o
}

func (c *Recorder) status(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	o, ok := c.orders[mux.Vars(r)["id"]]
	c.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o)
}

// counts responds with the number of runs of each body and of each request ID.
func (c *Recorder) counts(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = json.NewEncoder(w).Encode(c.runs)
}
