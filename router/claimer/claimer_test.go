package claimer_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/provider"
)

// oneRow is a table in which every row exists with one value.
type oneRow struct {
	value []byte
}

func (r oneRow) Commit(_ context.Context, c messenger.Commit) ([]messenger.Row, error) {
	return []messenger.Row{{
		Key:     c.If[0].Key,
		Version: 3,
		Value:   r.value,
	}}, nil
}

func (oneRow) Row(context.Context, string) (messenger.Row, error) {
	return messenger.Row{}, provider.ErrUnavailable
}

func (oneRow) Scan(context.Context, string, string) ([]messenger.Row, error) {
	return nil, provider.ErrUnavailable
}

// acquireTimeout bounds one call of acquire.
const acquireTimeout = 200 * time.Millisecond

// acquire claims a call whose row has a value.
func acquire(t *testing.T, value []byte) (*claimer.Claim, *claimer.Response, error) {
	t.Helper()
	c := claimer.New()
	c.Table = oneRow{value: value}
	c.WaitTimeout = time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	// A released claim is written again until the time is over.
	limited, stop := context.WithTimeout(ctx, acquireTimeout)
	defer stop()
	return c.Acquire(limited, claimer.Key{Key: "k"}, "a1", "h")
}

// oddClaims are values of a claim's row that no instance wrote.
var oddClaims = map[string]string{
	"nothing":                 ``,
	"no object":               `[]`,
	"no fields":               `{}`,
	"nested":                  strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"another state":           `{"attempt":"a","body-sha256":"h","state":"sleeping"}`,
	"no answer":               `{"attempt":"a","body-sha256":"h","state":"done"}`,
	"answer without a status": `{"attempt":"a","body-sha256":"h","state":"done","answer":{}}`,
	"status out of range":     `{"attempt":"a","body-sha256":"h","state":"done","answer":{"status":70000}}`,
	"informational status":    `{"attempt":"a","body-sha256":"h","state":"done","answer":{"status":101}}`,
	"negative status":         `{"attempt":"a","body-sha256":"h","state":"done","answer":{"status":-200}}`,
	"status beyond its type":  `{"attempt":"a","body-sha256":"h","state":"done","answer":{"status":1e30}}`,
	"body that is no base64":  `{"attempt":"a","body-sha256":"h","state":"done","answer":{"status":200,"body":"?"}}`,
}

// TestOddClaimRunsCallAgain guards against a call that is sent although it may have run, and
// against an answer that cannot be sent, because another writer has replaced the claim's row.
func TestOddClaimRunsCallAgain(t *testing.T) {
	for name, value := range oddClaims {
		t.Run(name, func(t *testing.T) {
			claim, response, err := acquire(t, []byte(value))
			var classified *classifier.Error
			if claim != nil || response != nil || !errors.As(err, &classified) || classified.Kind != classifier.OutcomeUnknown {
				t.Errorf("got claim %v, response %v and error %v, want the outcome unknown", claim, response, err)
			}
		})
	}
}

// FuzzClaim checks that whatever an earlier claim's row holds, there is an error or an answer
// that can be sent.
func FuzzClaim(f *testing.F) {
	const maxSeedBytes = 1 << 10
	f.Add([]byte(`{"attempt":"a","body-sha256":"h","state":"done","answer":{"status":200,"header":{"X":["1"]},"body":"MQ=="}}`))
	for _, value := range oddClaims {
		if len(value) < maxSeedBytes {
			f.Add([]byte(value))
		}
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		claim, response, err := acquire(t, value)
		if claim != nil || (response == nil) == (err == nil) || (response != nil && (response.Status < 200 || response.Status > 999)) {
			t.Errorf("got claim %v, response %v and error %v, want a response or an error", claim, response, err)
		}
	})
}
