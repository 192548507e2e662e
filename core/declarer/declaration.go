// Package declarer reads what operators declare (ranks, services, customers,
// operators), merges site overlays onto the base and checks the result.
package declarer

import (
	"fmt"
	"sort"

	"heatherhold.dev/core/identifier"
)

// ServiceKind distinguishes model services from plain ones.
type ServiceKind string

// The service kinds.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// Declaration is the configuration that applies at one site.
type Declaration struct {
	Rank     map[identifier.Rank]Rank         `toml:"rank"`
	Service  map[identifier.Service]Service   `toml:"service"`
	Customer map[identifier.Customer]Customer `toml:"customer"`
	Operator map[string]Operator              `toml:"operator"`
	Link     map[string]Link                  `toml:"link"`
}

// Rank is a class of work with its targets and limits.
type Rank struct {
	// Order sorts ranks by urgency; 0 is the most urgent.
	Order int `toml:"order"`
	// FirstToken is the target for the time to the first token.
	FirstToken identifier.Duration `toml:"first-token"`
	// BetweenTokens is the target for the time between two tokens.
	BetweenTokens identifier.Duration `toml:"between-tokens"`
	// GuaranteedShare is the share of a pool's tokens that is reserved for the
	// rank, 0 to 1.
	GuaranteedShare float64 `toml:"guaranteed-share"`
	// FreeShare is the share that is reserved for the rank's free-tier work, 0 to 1.
	FreeShare float64 `toml:"free-share"`
	// QueueLimit is how many requests of one customer may wait in a pool.
	QueueLimit int `toml:"queue-limit"`
	// MaxWait is how long a request may wait; one that would wait longer is refused.
	MaxWait identifier.Duration `toml:"max-wait"`
	// CustomerOnly is set if the rank exists only because a customer has its order. Its
	// guaranteed share goes to the other ranks while it has no requests.
	CustomerOnly bool `toml:"-"`
}

// Service is a service that callers request by name.
type Service struct {
	Kind ServiceKind `toml:"kind"`
	// Version and Layers are for model services.
	Version identifier.Version `toml:"version"`
	Layers  identifier.Layer   `toml:"layers"`
	// MaxTokens is the largest number of tokens in one response.
	MaxTokens identifier.Tokens `toml:"max-tokens"`
	// ProgressTimeout is how long the stream of a model service may send nothing before
	// it is abandoned. For a plain service it is the timeout of one attempt, until the
	// whole response is read.
	ProgressTimeout identifier.Duration `toml:"progress"`
	// RepeatableMethods lists the methods of a plain service that may be retried.
	RepeatableMethods []string `toml:"repeatable-methods"`
	// ChecksFence is set if the service's endpoints refuse old fencing tokens.
	ChecksFence bool `toml:"checks-fence"`
}

// Customer is an organisation that owns callers; all of them have its tier.
type Customer struct {
	Tier   identifier.Tier              `toml:"tier"`
	Weight float64                      `toml:"weight"`
	Caller map[identifier.Caller]Caller `toml:"caller"`
}

// Caller is one key holder.
type Caller struct {
	// KeySHA256 is the hash of the bearer key, in lower-case hexadecimal.
	KeySHA256 string `toml:"key-sha256"`
	// Rank is the most urgent rank that the caller may request.
	Rank identifier.Rank `toml:"rank"`
	// Services lists the services that the caller may use; empty means all.
	Services []identifier.Service `toml:"services"`
}

// Operator is a key holder who may read and change the configuration.
type Operator struct {
	KeySHA256 string `toml:"key-sha256"`
}

// Link is the network path between two data centres. Its section is named
// "one-to-other".
type Link struct {
	From identifier.DataCentre `toml:"from"`
	To   identifier.DataCentre `toml:"to"`
	// Delay is the one-way delay of one hop.
	Delay identifier.Duration `toml:"delay"`
}

// fault is a failed check of the setting with the given dotted key.
type fault struct {
	key    string
	detail string
}

// check returns all faults in d, in a stable order.
func (d *Declaration) check() []fault {
	var c checker
	c.ranks(d.Rank)
	c.services(d.Service)
	keyByHash := make(map[string]string)
	c.customers(d, keyByHash)
	c.operators(d.Operator, keyByHash)
	for _, name := range sortedKeys(d.Link) {
		c.require(d.Link[name].From != "" && d.Link[name].To != "", "link."+name, "want from and to")
		c.require(d.Link[name].Delay.Std() >= 0, "link."+name+".delay", "want 0 or more")
	}
	return c.faults
}

// checker collects the faults that its checks find.
type checker struct {
	faults []fault
}

func (c *checker) require(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, fault{
		key:    key,
		detail: fmt.Sprintf(format, args...),
	})
}

func (c *checker) ranks(ranks map[identifier.Rank]Rank) {
	c.require(len(ranks) > 0, "rank", "want at least one rank")
	sum := 0.0
	orders := make(map[int]identifier.Rank)
	for _, name := range sortedKeys(ranks) {
		r := ranks[name]
		key := "rank." + string(name)
		c.require(r.GuaranteedShare >= 0 && r.GuaranteedShare <= 1, key+".guaranteed-share", "want 0 to 1, got %v", r.GuaranteedShare)
		c.require(r.FreeShare >= 0 && r.FreeShare <= 1, key+".free-share", "want 0 to 1, got %v", r.FreeShare)
		c.require(r.QueueLimit > 0, key+".queue-limit", "want 1 or more, got %d", r.QueueLimit)
		c.require(r.MaxWait.Std() > 0, key+".max-wait", "want a time above 0")
		c.require(r.FirstToken.Std() > 0, key+".first-token", "want a time above 0")
		c.require(r.BetweenTokens.Std() > 0, key+".between-tokens", "want a time above 0")
		other, duplicate := orders[r.Order]
		c.require(!duplicate, key+".order", "%d is already the order of rank %q", r.Order, other)
		orders[r.Order] = name
		sum += r.GuaranteedShare + r.FreeShare
	}
	c.require(sum <= 1, "rank", "the guaranteed-share and free-share values of all ranks add up to %v, more than 1", sum)
}

func (c *checker) services(services map[identifier.Service]Service) {
	for _, name := range sortedKeys(services) {
		s := services[name]
		key := "service." + string(name)
		c.require(s.Kind == Model || s.Kind == Plain, key+".kind", "want \"model\" or \"plain\", got %q", s.Kind)
		c.require(s.ProgressTimeout.Std() > 0, key+".progress", "want a time above 0")
		if s.Kind == Model {
			c.require(s.Layers > 0, key+".layers", "want 1 or more, got %d", s.Layers)
			c.require(s.Version != "", key+".version", "is missing")
			c.require(s.MaxTokens > 0, key+".max-tokens", "want 1 or more, got %d", s.MaxTokens)
			c.require(len(s.RepeatableMethods) == 0, key+".repeatable-methods", "is for plain services")
		}
		if s.Kind == Plain {
			c.require(s.Layers == 0, key+".layers", "is for model services")
			c.require(s.Version == "", key+".version", "is for model services")
		}
	}
}

func (c *checker) customers(d *Declaration, keyByHash map[string]string) {
	for _, name := range sortedKeys(d.Customer) {
		customer := d.Customer[name]
		key := "customer." + string(name)
		c.require(customer.Tier == identifier.Paying || customer.Tier == identifier.Free, key+".tier", "want \"paying\" or \"free\", got %q", customer.Tier)
		c.require(customer.Weight > 0, key+".weight", "want more than 0, got %v", customer.Weight)
		for _, caller := range sortedKeys(customer.Caller) {
			c.caller(d, key+".caller."+string(caller), customer.Caller[caller], keyByHash)
		}
	}
}

func (c *checker) caller(d *Declaration, key string, caller Caller, keyByHash map[string]string) {
	c.keyHash(key+".key-sha256", caller.KeySHA256, keyByHash)
	_, ok := d.Rank[caller.Rank]
	c.require(ok, key+".rank", "unknown rank %q", caller.Rank)
	for _, s := range caller.Services {
		_, ok := d.Service[s]
		c.require(ok, key+".services", "unknown service %q", s)
	}
}

func (c *checker) operators(operators map[string]Operator, keyByHash map[string]string) {
	for _, name := range sortedKeys(operators) {
		c.keyHash("operator."+name+".key-sha256", operators[name].KeySHA256, keyByHash)
	}
}

// keyHash checks the hash that the setting key holds. keyByHash maps every hash
// found so far to the setting that holds it: no two settings may have the same.
func (c *checker) keyHash(key, hash string, keyByHash map[string]string) {
	const hexDigits = 64
	c.require(len(hash) == hexDigits && isLowerHex(hash), key, "want 64 lower-case hexadecimal digits")
	other, duplicate := keyByHash[hash]
	c.require(!duplicate, key, "is already the key of %s", other)
	keyByHash[hash] = key
}

func isLowerHex(s string) bool {
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
