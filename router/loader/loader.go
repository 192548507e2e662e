// Package loader reads a router's settings: a TOML file with keys in kebab case
// overrides embedded defaults. An error in a setting names the file, line and key.
package loader

import (
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/decoder"
	"heatherhold.dev/core/identifier"
)

//go:embed defaults.toml
var defaults []byte

// Settings are the settings that a router process starts with.
type Settings struct {
	Instance   identifier.Instance   `toml:"instance"`
	DataCentre identifier.DataCentre `toml:"data-centre"`
	Site       identifier.Site       `toml:"site"`
	LogLevel   string                `toml:"log-level"`
	LogFormat  string                `toml:"log-format"`
	Listen     Listen                `toml:"listen"`
	Platform   Platform              `toml:"platform"`
	Peer       Peer                  `toml:"peer"`
	Caller     Caller                `toml:"caller"`
	Operator   Operator              `toml:"operator"`
	Trace      Trace                 `toml:"trace"`
	Stop       Stop                  `toml:"stop"`
	// Store is set if the platform stores the configuration and the endpoint list
	// itself.
	Store *Store `toml:"store"`

	path string
}

// Path returns the path of the file that the settings were read from. It is empty
// if only the defaults are used.
func (s *Settings) Path() string {
	return s.path
}

// Store configures access to the store of a platform that keeps the configuration
// and the endpoint list itself.
type Store struct {
	// Address is the store's IP:port.
	Address string `toml:"address"`
	// Seeds are peer addresses of other instances, as IP:port.
	Seeds []string `toml:"seeds"`
	// PollTimeout is how long the store may hold a request until there is a change to
	// return.
	PollTimeout identifier.Duration `toml:"wait"`
	// MinPollInterval is the minimum interval between two requests for endpoint
	// changes.
	MinPollInterval identifier.Duration `toml:"pace"`
	// RetainAfterOutage is how long an endpoint whose entry disappeared during an
	// outage of the store is still treated as listed after the outage.
	RetainAfterOutage identifier.Duration `toml:"lapse"`
	// RetryRatio and RetryBurst limit the retries of all instances together in any
	// RetryWindow: RetryRatio per request, plus RetryBurst.
	RetryRatio  float64             `toml:"retry-ratio"`
	RetryBurst  float64             `toml:"retry-burst"`
	RetryWindow identifier.Duration `toml:"retry-window"`
	// ProcessorShare is the share of a core that the process may use, and
	// ProcessorSpeed the speed of that core as a multiple of the usual one.
	ProcessorShare float64 `toml:"processor-share"`
	ProcessorSpeed float64 `toml:"processor-speed"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int64 `toml:"memory-mb"`
}

// Listen holds the addresses that the router listens on, as IP:port.
type Listen struct {
	Caller   string `toml:"caller"`
	Operator string `toml:"operator"`
	Peer     string `toml:"peer"`
	// Ready serves the readiness checks of the platform's load balancer. It is used
	// only if Store is set.
	Ready string `toml:"ready"`
}

// Platform holds the URL of the platform and the timeout and intervals of requests
// to it.
type Platform struct {
	URL           string              `toml:"url"`
	Timeout       identifier.Duration `toml:"timeout"`
	ListInterval  identifier.Duration `toml:"list-interval"`
	TableInterval identifier.Duration `toml:"table-interval"`
}

// Peer holds the settings for the traffic between instances.
type Peer struct {
	// Security is "tls" or "plain". An empty value is an error: connections without
	// TLS need an explicit "plain".
	Security string `toml:"security"`
	// Certificate, Key and Authority are PEM-encoded.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	// Interval is the average time between two periodic exchanges of an instance.
	Interval identifier.Duration `toml:"interval"`
	// Term is how long an instance may make decisions after it was last confirmed by
	// a peer or by the platform.
	Term identifier.Duration `toml:"term"`
	// InactivityTimeout is how long a stream between instances may be inactive before
	// it is closed. The tickets of a closed stream stay reserved for the same time.
	InactivityTimeout identifier.Duration `toml:"silence"`
}

// Caller holds the limits and the TLS certificate of the listener for callers. If
// Store is set, only BodyMemory and MaxConnections apply to callers and, where the platform's
// configuration sets none, HeaderTimeout and IdleTimeout.
type Caller struct {
	BodyLimit int64 `toml:"body-limit"`
	// BodyMemory is the memory for all unfinished request bodies together, in bytes; 0
	// derives it from Store.MemoryMB.
	BodyMemory int64 `toml:"body-memory"`
	// MaxConnections is the largest number of callers' connections; 0 derives it from the
	// process's limit of descriptors and from Store.MemoryMB.
	MaxConnections int                 `toml:"max-connections"`
	HeaderLimit    int                 `toml:"header-limit"`
	HeaderTimeout  identifier.Duration `toml:"header-timeout"`
	BodyTimeout    identifier.Duration `toml:"body-timeout"`
	// IdleTimeout is how long an unused connection stays open. It is used only if
	// Store is set.
	IdleTimeout identifier.Duration `toml:"idle-timeout"`
	// WriteTimeout is how long a caller may take to read one piece of a response.
	WriteTimeout identifier.Duration `toml:"write-timeout"`
	Certificate  string              `toml:"certificate"`
	Key          string              `toml:"key"`
}

// Operator holds the settings of the listener for operators. If Store is set, only
// KeySHA256 has an effect, and the one of the defaults is not valid.
type Operator struct {
	// KeySHA256 is the SHA-256 hash of an operator key that is valid even before any
	// key is declared.
	KeySHA256   string `toml:"key-sha256"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Trace configures the tracing of requests.
type Trace struct {
	// Sample is the share of requests that are traced, 0 to 1.
	Sample float64 `toml:"sample"`
	// URL is the collector to which spans are sent (OTLP over HTTP); empty means none.
	URL string `toml:"url"`
}

// Stop holds the time limits of a planned stop.
type Stop struct {
	// Notice is how long the router continues to serve requests after it reports
	// that it is not ready.
	Notice identifier.Duration `toml:"notice"`
	// Finish is how long the router waits for requests in flight to complete. If Store
	// is set, it is the time for the whole stop, including Notice.
	Finish identifier.Duration `toml:"finish"`
}

// Load returns the defaults, overridden by the settings in the file at path. If
// path is empty, it returns only the defaults.
func Load(path string) (*Settings, error) {
	var s Settings
	if err := decoder.Strict("defaults.toml", defaults, &s); err != nil {
		return nil, err
	}
	if path == "" {
		return &s, s.check("defaults.toml", defaults)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	testKey := s.Operator.KeySHA256
	if err := decoder.Strict(path, data, &s); err != nil {
		return nil, err
	}
	if s.Store != nil && s.Operator.KeySHA256 == testKey {
		// The key of the defaults is public.
		s.Operator.KeySHA256 = ""
	}
	s.path = path
	return &s, s.check(path, data)
}

// checker records the first error found in the settings of a file.
type checker struct {
	file  string
	lines map[string]int
	err   error
}

func (c *checker) want(ok bool, key, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	c.err = &decoder.Error{
		File:   c.file,
		Line:   max(c.lines[key], 1),
		Key:    key,
		Detail: fmt.Sprintf(format, args...),
	}
}

// hash checks a SHA-256 hash in hexadecimal digits, which may be missing.
func (c *checker) hash(key, text string) {
	b, err := hex.DecodeString(text)
	valid := err == nil && len(b) == sha256.Size && text == strings.ToLower(text)
	c.want(text == "" || valid, key, "want 64 hexadecimal digits in lower case, got %q", text)
}

func (c *checker) between(key string, d identifier.Duration, low, high time.Duration) {
	c.want(d.Std() >= low && d.Std() <= high, key, "want %v to %v, got %v", low, high, d.Std())
}

func (c *checker) address(key, value string) {
	a, err := netip.ParseAddrPort(value)
	c.want(err == nil && a.IsValid(), key, "want IP:port, got %q", value)
}

func (c *checker) pair(section, certificate, key string) {
	consistent := (certificate == "") == (key == "")
	c.want(consistent, section+".key", "certificate and key must be set together")
}

// Limits of durations.
const (
	minDuration = 10 * time.Millisecond
	maxNotice   = time.Hour
	// maxProcessor is the largest share of a core, and the largest speed.
	maxProcessor = 1024
)

func (s *Settings) check(file string, data []byte) error {
	c := checker{
		file:  file,
		lines: decoder.Lines(data),
	}
	c.want(s.Instance != "", "instance", "is missing")
	c.want(s.DataCentre != "", "data-centre", "is missing")
	c.want(s.Site != "", "site", "is missing")
	c.want(s.LogFormat == "json" || s.LogFormat == "text", "log-format", "want \"json\" or \"text\", got %q", s.LogFormat)
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.operator", s.Listen.Operator)
	c.address("listen.peer", s.Listen.Peer)
	c.want(s.Store != nil || s.Platform.URL != "", "platform.url", "is missing")
	s.checkStore(&c)
	c.between("caller.idle-timeout", s.Caller.IdleTimeout, minDuration, time.Hour)
	c.between("platform.timeout", s.Platform.Timeout, minDuration, time.Minute)
	c.between("platform.list-interval", s.Platform.ListInterval, minDuration, time.Minute)
	c.between("platform.table-interval", s.Platform.TableInterval, minDuration, time.Minute)
	s.checkPeer(&c)
	c.want(s.Caller.BodyLimit > 0, "caller.body-limit", "want 1 or more bytes")
	c.want(s.Caller.BodyMemory >= 0, "caller.body-memory", "want 0 or more bytes, got %d", s.Caller.BodyMemory)
	c.want(s.Caller.MaxConnections >= 0, "caller.max-connections", "want 0 or more, got %d", s.Caller.MaxConnections)
	c.want(s.Caller.HeaderLimit >= 1<<10, "caller.header-limit", "want 1024 or more bytes")
	c.between("caller.header-timeout", s.Caller.HeaderTimeout, minDuration, time.Minute)
	c.between("caller.body-timeout", s.Caller.BodyTimeout, minDuration, time.Hour)
	c.between("caller.write-timeout", s.Caller.WriteTimeout, minDuration, time.Hour)
	c.pair("caller", s.Caller.Certificate, s.Caller.Key)
	c.pair("operator", s.Operator.Certificate, s.Operator.Key)
	c.hash("operator.key-sha256", s.Operator.KeySHA256)
	c.want(s.Trace.Sample >= 0 && s.Trace.Sample <= 1, "trace.sample", "want 0 to 1, got %v", s.Trace.Sample)
	c.between("stop.notice", s.Stop.Notice, 0, maxNotice)
	c.between("stop.finish", s.Stop.Finish, 0, 24*time.Hour)
	return c.err
}

func (s *Settings) checkStore(c *checker) {
	if s.Store == nil {
		return
	}
	c.address("store.address", s.Store.Address)
	c.address("listen.ready", s.Listen.Ready)
	for _, a := range s.Store.Seeds {
		c.address("store.seeds", a)
	}
	c.between("store.wait", s.Store.PollTimeout, minDuration, time.Minute)
	c.between("store.pace", s.Store.MinPollInterval, 0, time.Minute)
	c.between("store.lapse", s.Store.RetainAfterOutage, 0, time.Minute)
	c.want(s.Store.RetryRatio >= 0, "store.retry-ratio", "want 0 or more, got %v", s.Store.RetryRatio)
	c.want(s.Store.RetryBurst >= 0, "store.retry-burst", "want 0 or more, got %v", s.Store.RetryBurst)
	c.between("store.retry-window", s.Store.RetryWindow, 0, time.Hour)
	c.want(s.Store.ProcessorShare >= 0 && s.Store.ProcessorShare <= maxProcessor, "store.processor-share", "want 0 to %d, got %v", maxProcessor, s.Store.ProcessorShare)
	c.want(s.Store.ProcessorSpeed >= 0 && s.Store.ProcessorSpeed <= maxProcessor, "store.processor-speed", "want 0 to %d, got %v", maxProcessor, s.Store.ProcessorSpeed)
	c.want(s.Store.MemoryMB >= 0, "store.memory-mb", "want 0 or more, got %d", s.Store.MemoryMB)
}

func (s *Settings) checkPeer(c *checker) {
	p := s.Peer
	switch p.Security {
	case "plain":
		c.want(p.Certificate == "" && p.Key == "" && p.Authority == "", "peer.security", "\"plain\" contradicts the certificate, key or authority that is set")
	case "tls":
		c.want(p.Certificate != "" && p.Key != "" && p.Authority != "", "peer.security", "\"tls\" needs certificate, key and authority")
	default:
		c.want(false, "peer.security", "want \"tls\" or \"plain\", got %q", p.Security)
	}
	c.between("peer.interval", p.Interval, minDuration, time.Minute)
	c.between("peer.term", p.Term, 4*p.Interval.Std(), 9*time.Second)
	c.between("peer.silence", p.InactivityTimeout, 2*p.Interval.Std(), time.Minute)
}
