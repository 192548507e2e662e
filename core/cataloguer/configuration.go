// Package cataloguer describes a deployment: the routes, customers and limits
// that its operators have declared, the model engines behind its services, and
// the endpoints that are there.
package cataloguer

import (
	"strings"
	"time"

	"heatherhold.dev/core/identifier"
)

// Repetition says how often a request may run.
type Repetition string

// The repetitions.
const (
	// Idempotent requests may run any number of times.
	Idempotent Repetition = "idempotent"
	// AtMostOnce requests run once or not at all.
	AtMostOnce Repetition = "at-most-once"
	// Resumable requests are streams that may be continued by a new run.
	Resumable Repetition = "resumable"
)

// Repeatable reports whether a request that may have run may run again.
func (r Repetition) Repeatable() bool {
	return r != AtMostOnce
}

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Repetition Repetition
	// Streams is set if answers are streams of events.
	Streams bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	Target time.Duration
	// Gap is the longest pause between two events that is on time.
	Gap time.Duration
	// Attempts is the largest number of endpoints that may run one request.
	Attempts int
	// Order is the urgency; 0 is the most urgent.
	Order int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Target is one service's share of a route.
type Target struct {
	Service identifier.Service
	Weight  float64
}

// Customer is the holder of some keys.
type Customer struct {
	Name identifier.Customer
	Keys []string
	// Order is the urgency of all the customer's requests, if HasOrder is set;
	// it goes before the route's.
	Order    int
	HasOrder bool
}

// Service is what routes point to.
type Service struct {
	Name identifier.Service
	// ConnectionLimit is how many connections one endpoint takes from all
	// callers together.
	ConnectionLimit int
	// Engine describes the service's model engines; nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one whole state of what operators declare. It is never
// changed once it was made by Prepare.
type Configuration struct {
	Revision  identifier.Revision
	Routes    []Route
	Services  map[identifier.Service]Service
	Customers []Customer
	Limits    Limits

	hosts map[string][]*Route
	keys  map[string]*Customer
}

// Prepare builds the indexes that Route and Customer use.
func (c *Configuration) Prepare() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	c.keys = make(map[string]*Customer)
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			c.keys[k] = &c.Customers[i]
		}
	}
}

// Route returns the route of host whose prefix is the longest that begins path.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// hostname returns the lower-case host without its port.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// HasCustomers reports whether requests need a key.
func (c *Configuration) HasCustomers() bool {
	return len(c.Customers) > 0
}

// Customer returns the holder of a key.
func (c *Configuration) Customer(key string) (*Customer, bool) {
	u, ok := c.keys[key]
	return u, ok
}

// Pick returns the service for a request; point, from 0 to below 1, says where
// in the weights the request falls.
func (r *Route) Pick(point float64) identifier.Service {
	sum := 0.0
	for _, t := range r.Targets {
		sum += max(t.Weight, 0)
	}
	at := point * sum
	for _, t := range r.Targets {
		at -= max(t.Weight, 0)
		if at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
