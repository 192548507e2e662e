// Package declarer reads what operators declare (ranks, services, customers,
// operators), merges site overlays onto the base and checks the result.
package declarer

import (
	"fmt"
	"sort"

	"heatherhold.dev/core/identifier"
)

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The service kinds.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// Declaration is the configuration that one site decides by.
type Declaration struct {
	Rank     map[identifier.Rank]Rank         `toml:"rank"`
	Service  map[identifier.Service]Service   `toml:"service"`
	Customer map[identifier.Customer]Customer `toml:"customer"`
	Operator map[string]Operator              `toml:"operator"`
	Link     map[string]Link                  `toml:"link"`
}

// Rank is a class of work with its targets.
type Rank struct {
	// Order sorts ranks by urgency; 0 is the most urgent.
	Order int `toml:"order"`
	// FirstToken is the target for the first token.
	FirstToken identifier.Duration `toml:"first-token"`
	// BetweenTokens is the target between two tokens.
	BetweenTokens identifier.Duration `toml:"between-tokens"`
	// GuaranteedShare is the part of a pool's tokens that the rank keeps, 0 to 1.
	GuaranteedShare float64 `toml:"guaranteed-share"`
	// FreeShare is the part that the rank's free-tier work keeps, 0 to 1.
	FreeShare float64 `toml:"free-share"`
	// QueueLimit is how many requests of one customer may wait in a pool.
	QueueLimit int `toml:"queue-limit"`
	// MaxWait is how long a request may wait; one that would wait longer is refused.
	MaxWait identifier.Duration `toml:"max-wait"`
}

// Service is what callers ask for by name.
type Service struct {
	Kind ServiceKind `toml:"kind"`
	// Version and Layers are for model services.
	Version identifier.Version `toml:"version"`
	Layers  identifier.Layer   `toml:"layers"`
	// MaxTokens bounds one answer.
	MaxTokens identifier.Tokens `toml:"max-tokens"`
	// Progress is the longest silence before a connection is given up.
	Progress identifier.Duration `toml:"progress"`
	// RepeatableMethods lists the methods of a plain service that may be retried.
	RepeatableMethods []string `toml:"repeatable-methods"`
	// ChecksFence says that the service's endpoints refuse old fencing numbers.
	ChecksFence bool `toml:"checks-fence"`
}

// Customer owns callers and has one tier.
type Customer struct {
	Tier   identifier.Tier              `toml:"tier"`
	Weight float64                      `toml:"weight"`
	Caller map[identifier.Caller]Caller `toml:"caller"`
}

// Caller is one key holder.
type Caller struct {
	// KeySHA256 is the hash of the bearer key, in lower-case hexadecimal.
	KeySHA256 string `toml:"key-sha256"`
	// Rank is the most urgent rank that the caller may ask for.
	Rank identifier.Rank `toml:"rank"`
	// Services lists what the caller may use; empty means all.
	Services []identifier.Service `toml:"services"`
}

// Operator may read and change the configuration.
type Operator struct {
	KeySHA256 string `toml:"key-sha256"`
}

// Link is the way between two data centres, named "one-to-other" by the section.
type Link struct {
	From identifier.DataCentre `toml:"from"`
	To   identifier.DataCentre `toml:"to"`
	// Delay is the time of one hop, one way.
	Delay identifier.Duration `toml:"delay"`
}

// fault is a failed check of one dotted key.
type fault struct {
	key    string
	detail string
}

// check returns every fault of d, in a stable order.
func (d *Declaration) check() []fault {
	var c checker
	c.ranks(d.Rank)
	c.services(d.Service)
	keys := make(map[string]string)
	c.customers(d, keys)
	c.operators(d.Operator, keys)
	for _, name := range sorted(d.Link) {
		c.want(d.Link[name].From != "" && d.Link[name].To != "", "link."+name, "want from and to")
		c.want(d.Link[name].Delay.Std() >= 0, "link."+name+".delay", "want 0 or more")
	}
	return c.faults
}

type checker struct {
	faults []fault
}

func (c *checker) want(ok bool, key, format string, args ...any) {
	if ok {
		return
	}
	c.faults = append(c.faults, fault{
		key:    key,
		detail: fmt.Sprintf(format, args...),
	})
}

func (c *checker) ranks(ranks map[identifier.Rank]Rank) {
	c.want(len(ranks) > 0, "rank", "want at least one rank")
	sum := 0.0
	orders := make(map[int]identifier.Rank)
	for _, name := range sorted(ranks) {
		r := ranks[name]
		key := "rank." + string(name)
		c.want(r.GuaranteedShare >= 0 && r.GuaranteedShare <= 1, key+".guaranteed-share", "want 0 to 1, got %v", r.GuaranteedShare)
		c.want(r.FreeShare >= 0 && r.FreeShare <= 1, key+".free-share", "want 0 to 1, got %v", r.FreeShare)
		c.want(r.QueueLimit > 0, key+".queue-limit", "want 1 or more, got %d", r.QueueLimit)
		c.want(r.MaxWait.Std() > 0, key+".max-wait", "want a time above 0")
		c.want(r.FirstToken.Std() > 0, key+".first-token", "want a time above 0")
		c.want(r.BetweenTokens.Std() > 0, key+".between-tokens", "want a time above 0")
		other, taken := orders[r.Order]
		c.want(!taken, key+".order", "%d is the order of rank %q already", r.Order, other)
		orders[r.Order] = name
		sum += r.GuaranteedShare + r.FreeShare
	}
	c.want(sum <= 1, "rank", "the guaranteed shares add up to %v, more than 1", sum)
}

func (c *checker) services(services map[identifier.Service]Service) {
	for _, name := range sorted(services) {
		s := services[name]
		key := "service." + string(name)
		c.want(s.Kind == Model || s.Kind == Plain, key+".kind", "want \"model\" or \"plain\", got %q", s.Kind)
		c.want(s.Progress.Std() > 0, key+".progress", "want a time above 0")
		if s.Kind == Model {
			c.want(s.Layers > 0, key+".layers", "want 1 or more, got %d", s.Layers)
			c.want(s.Version != "", key+".version", "is missing")
			c.want(s.MaxTokens > 0, key+".max-tokens", "want 1 or more, got %d", s.MaxTokens)
			c.want(len(s.RepeatableMethods) == 0, key+".repeatable-methods", "is for plain services")
		}
		if s.Kind == Plain {
			c.want(s.Layers == 0, key+".layers", "is for model services")
			c.want(s.Version == "", key+".version", "is for model services")
		}
	}
}

func (c *checker) customers(d *Declaration, keys map[string]string) {
	for _, name := range sorted(d.Customer) {
		u := d.Customer[name]
		key := "customer." + string(name)
		c.want(u.Tier == identifier.Paying || u.Tier == identifier.Free, key+".tier", "want \"paying\" or \"free\", got %q", u.Tier)
		c.want(u.Weight > 0, key+".weight", "want more than 0, got %v", u.Weight)
		for _, caller := range sorted(u.Caller) {
			c.caller(d, key+".caller."+string(caller), u.Caller[caller], keys)
		}
	}
}

func (c *checker) caller(d *Declaration, key string, caller Caller, keys map[string]string) {
	c.key(key+".key-sha256", caller.KeySHA256, keys)
	_, ok := d.Rank[caller.Rank]
	c.want(ok, key+".rank", "there is no rank %q", caller.Rank)
	for _, s := range caller.Services {
		_, ok := d.Service[s]
		c.want(ok, key+".services", "there is no service %q", s)
	}
}

func (c *checker) operators(operators map[string]Operator, keys map[string]string) {
	for _, name := range sorted(operators) {
		c.key("operator."+name+".key-sha256", operators[name].KeySHA256, keys)
	}
}

func (c *checker) key(key, hash string, keys map[string]string) {
	const hexDigits = 64
	c.want(len(hash) == hexDigits && isHex(hash), key, "want 64 lower-case hexadecimal digits")
	other, taken := keys[hash]
	c.want(!taken, key, "is the key of %s already", other)
	keys[hash] = key
}

func isHex(s string) bool {
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

func sorted[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
