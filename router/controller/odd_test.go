package controller_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/publisher"
)

// lockedBuffer is a buffer that several goroutines use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// engineAt returns a configuration in which service s has a model of some layers.
func engineAt(revision uint64, layers identifier.Layer) cataloguer.Change[controller.StoredConfiguration] {
	value, _ := json.Marshal(revision)
	return cataloguer.Change[controller.StoredConfiguration]{Set: map[string]controller.StoredConfiguration{"config": {
		Value: value,
		Configuration: &cataloguer.Configuration{
			Revision: identifier.Revision(revision),
			Services: map[identifier.Service]cataloguer.Service{"s": {
				Name:   "s",
				Engine: &cataloguer.Engine{Layers: layers},
			}},
		},
	}}}
}

// endpointWith returns an endpoint that holds layers.
func endpointWith(name identifier.Endpoint, from, to identifier.Layer) cataloguer.Endpoint {
	e := endpoint(name, false)
	e.From = from
	e.To = to
	return e
}

// TestEndpointBeyondModelUsed guards against an endpoint whose row names layers that the model
// does not have: it would be ordered to take over lost layers, before any sound endpoint, or
// stand in a chain. It is used once the model has these layers.
func TestEndpointBeyondModelUsed(t *testing.T) {
	var logged lockedBuffer
	i := startConfigured(t, func(c *controller.Controller) {
		log := logrus.New()
		log.SetOutput(&logged)
		c.Log = log
	})
	i.sites.changes <- engineAt(1, 8)
	for to := range identifier.Layer(3) {
		i.endpoints.changes <- fullList(
			endpointWith("a", 0, 8-to),
			endpointWith("b", 0, math.MaxInt32),
			endpointWith("c", 2_000_000_000, 2_000_000_001),
			endpointWith("d", 9, 9),
			endpointWith("e", 4, 9),
			endpointWith("f", 4, 8),
		)
		i.waitFor(t, "endpoints a, d and f", func(v *publisher.View) bool {
			return availableEndpoints(v) == "a d f " && v.Fleet["s"][0].To == 8-to
		})
	}
	if got, want := strings.Count(logged.String(), "layers that the model does not have"), 3; got != want {
		t.Errorf("log lines on the odd endpoints: got %d, want %d:\n%s", got, want, logged.String())
	}
	i.sites.changes <- engineAt(2, 9)
	i.waitFor(t, "endpoint e", func(v *publisher.View) bool { return availableEndpoints(v) == "a d e f " })
}
