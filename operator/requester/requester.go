// Package requester sends operators' requests to a router.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/messenger"
)

const (
	requestTimeout = 40 * time.Second
	bodyLimit      = 64 << 20 // bytes
)

// Client sends requests to one router. Its fields must be set before use.
type Client struct {
	// URL is the router's operator address.
	URL string
	// Key is the operator's bearer key.
	Key string
}

// RefusedError is the error with which a router refuses a request.
type RefusedError struct {
	Body classifier.BodyError
}

// Error returns the message and kind of the refusal in one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Body.Message, e.Body.Kind)
}

// ConflictError means that the base of a change is no longer the latest revision.
type ConflictError struct {
	Refused messenger.ChangeRefused
}

// Error returns the detail of the conflict in one line.
func (e *ConflictError) Error() string {
	return e.Refused.Detail
}

// OutcomeUnknown reports whether a change that failed with err may have taken
// effect.
func OutcomeUnknown(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return classifier.ResponseOf(refused.Body.Kind).Ran == classifier.RanUnknown
	}
	var conflict *ConflictError
	return !errors.As(err, &conflict)
}

// Configuration reads the declarations in force.
func (c *Client) Configuration(ctx context.Context) (messenger.Configuration, error) {
	var out messenger.Configuration
	err := c.call(ctx, http.MethodGet, "/v1/configuration", nil, &out)
	return out, err
}

// Change commits a change and returns its revision.
func (c *Client) Change(ctx context.Context, m messenger.ConfigurationChange) (uint64, error) {
	var out messenger.ConfigurationCommitted
	err := c.call(ctx, http.MethodPost, "/v1/configuration", m, &out)
	return out.Revision, err
}

// Acceptance asks whether a revision is in force everywhere.
func (c *Client) Acceptance(ctx context.Context, q messenger.AcceptanceQuery) (messenger.Acceptance, error) {
	var out messenger.Acceptance
	err := c.call(ctx, http.MethodGet, "/v1/acceptance?"+q.Values().Encode(), nil, &out)
	return out, err
}

// Status reads the router's view.
func (c *Client) Status(ctx context.Context) (messenger.Status, error) {
	var out messenger.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Drain marks an endpoint as leaving.
func (c *Client) Drain(ctx context.Context, endpoint string) (messenger.Drained, error) {
	var out messenger.Drained
	err := c.call(ctx, http.MethodPost, "/v1/drains", messenger.Drain{Endpoint: endpoint}, &out)
	return out, err
}

// Quarantine lists the parts of prompts that are suspected or condemned.
func (c *Client) Quarantine(ctx context.Context) (messenger.QuarantineList, error) {
	var out messenger.QuarantineList
	err := c.call(ctx, http.MethodGet, "/v1/quarantine", nil, &out)
	return out, err
}

// ReleasePart makes the crashes so far count no longer against a part of prompts.
func (c *Client) ReleasePart(ctx context.Context, part string) (messenger.PartRelease, error) {
	var out messenger.PartRelease
	err := c.call(ctx, http.MethodPost, "/v1/quarantine/releases", messenger.PartRelease{Part: part}, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request to the router")
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, bodyLimit))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if res.StatusCode != http.StatusOK {
		return refusalError(data)
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}

func refusalError(data []byte) error {
	var conflict messenger.ChangeRefused
	if err := json.Unmarshal(data, &conflict); err == nil && conflict.Error == string(classifier.Conflict) {
		return &ConflictError{Refused: conflict}
	}
	var body classifier.Body
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Errorf("unexpected response from the router: %q", data)
	}
	return &RefusedError{Body: body.Error}
}
