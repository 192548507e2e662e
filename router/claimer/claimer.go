// Package claimer makes calls run at most once. A claim row is inserted in the
// platform's table before a byte is sent, under the customer, service and
// idempotency key; the answer is kept in it. A claim is never taken over, so a
// claimant that was paused is still the only one that may send.
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
	"heatherhold.dev/router/keeper"
)

// state says how far a claim's call has come.
type state string

const (
	// pending: the call may have been sent, and no answer is kept.
	pending state = "pending"
	// done: the answer is kept.
	done state = "done"
	// void: the claimant sent nothing; the key is free again.
	void state = "void"
)

// Key names one call.
type Key struct {
	Customer identifier.Customer
	Service  identifier.Service
	Key      string
}

func (k Key) row() string {
	return "claim/" + url.PathEscape(string(k.Customer)) + "/" + url.PathEscape(string(k.Service)) + "/" + url.PathEscape(k.Key)
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// record is the value of a claim's row.
type record struct {
	Attempt string  `json:"attempt"`
	Hash    string  `json:"body-sha256"`
	State   state   `json:"state"`
	Answer  *Answer `json:"answer,omitempty"`
}

// Claim is the right to send one call, once.
type Claim struct {
	row     string
	version uint64
	record  record
}

// Claimer makes claims. Make it with New and set the exported fields before Run.
type Claimer struct {
	Table keeper.Table
	// Patience is how long a call waits for another's answer under its key.
	Patience time.Duration

	operations *batcher.Batch[*operation]
}

// New returns a claimer.
func New() *Claimer {
	return &Claimer{operations: batcher.New[*operation]()}
}

const (
	lookInterval = 50 * time.Millisecond
)

// Make claims a call for one attempt. It returns the kept answer if the call
// ran before, or an error: key-reused for another body, outcome-unknown if the
// call may have run and its answer is not known, platform-down if nothing
// could be claimed.
func (c *Claimer) Make(ctx context.Context, k Key, attempt, hash string) (*Claim, *Answer, error) {
	mine := &Claim{
		row: k.row(),
		record: record{
			Attempt: attempt,
			Hash:    hash,
			State:   pending,
		},
	}
	deadline := time.Now().Add(c.Patience)
	for {
		other, err := c.write(ctx, mine)
		if err != nil {
			return nil, nil, err
		}
		if other == nil {
			return mine, nil, nil
		}
		answer, again, err := mine.against(*other, time.Now().Before(deadline))
		if !again {
			return nil, answer, err
		}
		if err := wait(ctx, lookInterval); err != nil {
			return nil, nil, err
		}
	}
}

// against says what an earlier claim's row means for c; again is set if c may
// be tried again.
func (c *Claim) against(row messenger.Row, patient bool) (answer *Answer, again bool, err error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return nil, false, errors.Wrap(err, "decode claim")
	}
	switch {
	case r.State == void:
		c.version = row.Version
		return nil, true, nil
	case r.Hash != c.record.Hash:
		return nil, false, classifier.New(classifier.KeyReused, "the idempotency key was used for another request")
	case r.State == done:
		return r.Answer, false, nil
	case patient:
		return nil, true, nil
	}
	return nil, false, classifier.New(classifier.OutcomeUnknown, "a call under this idempotency key was sent, and its answer is not known; it is not sent again")
}

// Keep stores the answer of a claim that was sent.
func (c *Claimer) Keep(ctx context.Context, claim *Claim, a *Answer) error {
	return c.settle(ctx, claim, record{
		Attempt: claim.record.Attempt,
		Hash:    claim.record.Hash,
		State:   done,
		Answer:  a,
	})
}

// Void frees the key of a claim under which nothing was sent.
func (c *Claimer) Void(ctx context.Context, claim *Claim) error {
	return c.settle(ctx, claim, record{
		Attempt: claim.record.Attempt,
		Hash:    claim.record.Hash,
		State:   void,
	})
}

func (c *Claimer) settle(ctx context.Context, claim *Claim, r record) error {
	claim.record = r
	other, err := c.write(ctx, claim)
	if err == nil && other != nil {
		return errors.New("the claim's row was changed by another")
	}
	return err
}

// write puts the claim's record if its row has the claim's version. It returns
// the row that stands against it, if any.
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
		return nil, classifier.Wrap(classifier.PlatformDown, got.err, "the table service did not take the claim; nothing was sent")
	}
	if got.other == nil {
		claim.version++
	}
	return got.other, ctx.Err()
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return classifier.Wrap(classifier.Cancelled, ctx.Err(), "the caller went away")
	case <-t.C:
		return nil
	}
}
