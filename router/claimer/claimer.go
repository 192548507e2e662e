// Package claimer ensures that calls run at most once. A claim row is inserted in the
// platform's table before any byte of the call is sent. The key of the row consists of
// customer, service and idempotency key; the response is stored in the row. A claim is
// never taken over, so an instance that was paused after acquiring a claim is still the
// only one that may send the call.
package claimer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/batcher"
	"heatherhold.dev/router/provider"
)

// state is the state of a claim's call.
type state string

const (
	// pending: the call may have been sent, and no response is stored.
	pending state = "pending"
	// responded: the response is stored.
	responded state = "done"
	// released: the holder of the claim sent nothing; the key can be claimed again.
	released state = "void"
)

// Key identifies one call.
type Key struct {
	Customer identifier.Customer
	Service  identifier.Service
	Key      string
}

func (k Key) row() string {
	return "claim/" + url.PathEscape(string(k.Customer)) + "/" + url.PathEscape(string(k.Service)) + "/" + url.PathEscape(k.Key)
}

// Response is the complete response of a plain service.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// record is the value of a claim's table row.
type record struct {
	Attempt  string    `json:"attempt"`
	Hash     string    `json:"body-sha256"`
	State    state     `json:"state"`
	Response *Response `json:"answer,omitempty"`
}

// check returns an error if no instance wrote the record.
func (r *record) check() error {
	const minStatus, maxStatus = 200, 999
	switch r.State {
	case pending, released:
		return nil
	case responded:
		if r.Response != nil && r.Response.Status >= minStatus && r.Response.Status <= maxStatus {
			return nil
		}
		return errors.New("claim without a usable response")
	}
	return errors.Errorf("claim in the unknown state %.40q", string(r.State))
}

// Claim is the exclusive right to send one call once.
type Claim struct {
	row     string
	version uint64
	record  record
}

// Claimer acquires claims. Create it with New and set the exported fields before Run.
type Claimer struct {
	Table provider.Table
	// WaitTimeout is how long a call waits for the response to an earlier call with the
	// same key.
	WaitTimeout time.Duration

	operations *batcher.Batch[*operation]
}

// New returns a Claimer without settings.
func New() *Claimer {
	return &Claimer{operations: batcher.New[*operation]()}
}

const (
	// pollInterval is the delay before a claim that conflicted is written again.
	pollInterval = 50 * time.Millisecond
)

// Acquire claims a call for one attempt. If the call ran before, it returns the stored
// response instead. The kind of the error is key-reused if the key was used for a
// different request, outcome-unknown if the call may have run and its response is not
// known, and platform-down if the table service did not confirm the claim, whose row may
// have been written all the same.
func (c *Claimer) Acquire(ctx context.Context, k Key, attempt, hash string) (*Claim, *Response, error) {
	claim := &Claim{
		row: k.row(),
		record: record{
			Attempt: attempt,
			Hash:    hash,
			State:   pending,
		},
	}
	deadline := time.Now().Add(c.WaitTimeout)
	for {
		conflict, err := c.write(ctx, claim)
		if err != nil {
			return nil, nil, err
		}
		if conflict == nil {
			return claim, nil, nil
		}
		response, retry, err := claim.resolve(*conflict, time.Now().Before(deadline))
		if !retry {
			return nil, response, err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return nil, nil, err
		}
	}
}

// resolve decides what the row of an earlier claim means for c. retry is set if c is to
// be written again: over a released claim, or while an earlier call is pending and
// mayWait is set.
func (c *Claim) resolve(row messenger.Row, mayWait bool) (response *Response, retry bool, err error) {
	var r record
	err = json.Unmarshal(row.Value, &r)
	if err == nil {
		err = r.check()
	}
	if err != nil {
		return nil, false, classifier.Wrap(classifier.OutcomeUnknown, err, "the row of an earlier call with this idempotency key is not understood; the call is not sent again")
	}
	switch {
	case r.State == released:
		c.version = row.Version
		return nil, true, nil
	case r.Hash != c.record.Hash:
		return nil, false, classifier.New(classifier.KeyReused, "the idempotency key was already used for a different request")
	case r.State == responded:
		return r.Response, false, nil
	case mayWait:
		return nil, true, nil
	}
	return nil, false, classifier.New(classifier.OutcomeUnknown, "a call with this idempotency key may have been sent, and its response is not known; it is not sent again")
}

// StoreResponse stores the response to a call that was sent under claim.
func (c *Claimer) StoreResponse(ctx context.Context, claim *Claim, response *Response) error {
	return c.update(ctx, claim, record{
		Attempt:  claim.record.Attempt,
		Hash:     claim.record.Hash,
		State:    responded,
		Response: response,
	})
}

// Release makes the key of claim available again. Nothing may have been sent under it.
func (c *Claimer) Release(ctx context.Context, claim *Claim) error {
	return c.update(ctx, claim, record{
		Attempt: claim.record.Attempt,
		Hash:    claim.record.Hash,
		State:   released,
	})
}

func (c *Claimer) update(ctx context.Context, claim *Claim, r record) error {
	claim.record = r
	conflict, err := c.write(ctx, claim)
	if err == nil && conflict != nil {
		return errors.New("the row of the claim was changed by another writer")
	}
	return err
}

// write stores the claim's record if its row still has the claim's version. Otherwise
// it returns the conflicting row. If ctx is done by then, it also returns ctx's error,
// although the record may have been stored.
func (c *Claimer) write(ctx context.Context, claim *Claim) (*messenger.Row, error) {
	value, err := json.Marshal(claim.record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	o := &operation{
		claim: claim,
		value: value,
		done:  make(chan outcome, 1),
	}
	c.operations.Add(o)
	got := <-o.done
	if got.err != nil {
		return nil, classifier.Wrap(classifier.PlatformDown, got.err, "the table service did not confirm the write of the claim")
	}
	if got.conflict == nil {
		claim.version++
	}
	return got.conflict, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return classifier.Wrap(classifier.Cancelled, ctx.Err(), "the caller disconnected")
	case <-t.C:
		return nil
	}
}
