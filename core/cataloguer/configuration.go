// Package cataloguer describes a deployment: the routes, customers and limits
// that its operators have declared, the model engines behind its services, and
// the endpoints that exist.
package cataloguer

import (
	"strings"
	"time"

	"heatherhold.dev/core/identifier"
)

// Repetition specifies how often a request may run.
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
	// Streams is set if the responses are event streams.
	Streams bool
	// Timeout is the longest time that a caller waits for a response.
	Timeout time.Duration
	// Target is the time within which a response, or a stream's first event, is on time.
	Target time.Duration
	// Gap is the longest pause between two events that is on time.
	Gap time.Duration
	// Patience is after how long without an event the caller of a stream leaves; 0 if it is
	// not known.
	Patience time.Duration
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

// Customer is an organisation with the API keys that belong to it.
type Customer struct {
	Name identifier.Customer
	Keys []string
	// Order is the urgency of all the customer's requests, if HasOrder is set;
	// it takes precedence over the route's order.
	Order    int
	HasOrder bool
}

// Service is a service to which routes send requests.
type Service struct {
	Name identifier.Service
	// ConnectionLimit is how many connections one endpoint accepts from all its
	// clients together.
	ConnectionLimit int
	// Engine describes the service's model engines; it is nil for plain services.
	Engine *Engine
}

// Limits are the limits on the size and duration of a caller's request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one revision of everything that operators declare. It is not
// modified after the call of Prepare.
type Configuration struct {
	Revision  identifier.Revision
	Routes    []Route
	Services  map[identifier.Service]Service
	Customers []Customer
	Limits    Limits

	hosts map[string][]*Route
	keys  map[string]*Customer
}

// Prepare builds the indexes that the methods Route and Customer use.
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

// Route returns the route of host that has the longest matching prefix of path.
func (c *Configuration) Route(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range c.hosts[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// hostname returns the host in lower case and without its port.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}

// HasCustomers reports whether any customers are declared; without customers,
// requests need no key.
func (c *Configuration) HasCustomers() bool {
	return len(c.Customers) > 0
}

// Customer returns the customer to whom a key belongs.
func (c *Configuration) Customer(key string) (*Customer, bool) {
	customer, ok := c.keys[key]
	return customer, ok
}

// Pick returns the service for a request. The services share the interval [0, 1)
// in proportion to their weights; fraction is the request's point in it.
func (r *Route) Pick(fraction float64) identifier.Service {
	sum := 0.0
	for _, t := range r.Targets {
		sum += max(t.Weight, 0)
	}
	remaining := fraction * sum
	for _, t := range r.Targets {
		remaining -= max(t.Weight, 0)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
