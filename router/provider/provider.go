// Package provider is the client of the platform: its table service, object store and
// instance list. Platform is the small interface that an adapter for another platform
// would implement.
package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/core/suppressor"
)

// ErrUnavailable reports that the platform returned no usable response. A write that
// fails with ErrUnavailable may have taken effect nevertheless.
var ErrUnavailable = errors.New("platform returned no usable response")

// ErrNotFound reports that the platform responded with status 404. For Object this means
// that the object does not exist.
var ErrNotFound = errors.New("platform responded with status 404")

// Table is the platform's transactional table service.
type Table interface {
	// Commit executes one transaction. If it returns conflicting rows, nothing was
	// written.
	Commit(ctx context.Context, c messenger.Commit) ([]messenger.Row, error)
	// Row reads one row. Version 0 means that the row does not exist.
	Row(ctx context.Context, key string) (messenger.Row, error)
	// Scan reads the rows whose keys start with prefix and are greater than after.
	Scan(ctx context.Context, prefix, after string) ([]messenger.Row, error)
}

// Platform is everything that the router requires of the platform.
type Platform interface {
	Table
	Object(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, data []byte) error
	// List reads the list of live and leaving instances, which may be out of date.
	List(ctx context.Context) ([]messenger.ListedInstance, error)
	// Register adds an instance to the list, on platforms that require it.
	Register(ctx context.Context, l messenger.ListedInstance) error
	// Deregister removes an instance from the list.
	Deregister(ctx context.Context, name string) error
}

const (
	responseHeaderLimit = 64 << 10 // bytes
	responseBodyLimit   = 64 << 20 // bytes
)

// Client is a Platform over HTTP. A request without a complete response within Timeout
// is cancelled and its connection closed.
type Client struct {
	URL     string
	Timeout time.Duration
	// Log gets a line for each entry of the instance list that is not understood.
	Log logrus.FieldLogger

	once   sync.Once
	client http.Client

	mu sync.Mutex
	// odd has the entries that were not understood when the list was last read, cut.
	odd suppressor.Set
}

// Commit executes one transaction.
func (c *Client) Commit(ctx context.Context, t messenger.Commit) ([]messenger.Row, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "encode commit")
	}
	var out messenger.Committed
	_, err = c.call(ctx, http.MethodPost, "/v1/table/commit", body, &out)
	return out.Conflicts, err
}

// Row reads one row.
func (c *Client) Row(ctx context.Context, key string) (messenger.Row, error) {
	var row messenger.Row
	_, err := c.call(ctx, http.MethodGet, "/v1/table/rows?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// Scan reads rows by prefix.
func (c *Client) Scan(ctx context.Context, prefix, after string) ([]messenger.Row, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {after},
	}
	var rows messenger.Rows
	_, err := c.call(ctx, http.MethodGet, "/v1/table/scan?"+q.Encode(), nil, &rows)
	return rows.Rows, err
}

// Object reads one object.
func (c *Client) Object(ctx context.Context, key string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/objects/"+key, nil, nil)
}

// PutObject writes one object.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/objects/"+key, data, nil)
	return err
}

// Register adds l to the instance list.
func (c *Client) Register(ctx context.Context, l messenger.ListedInstance) error {
	body, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	_, err = c.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(l.Name), body, nil)
	return err
}

// Deregister removes name from the instance list.
func (c *Client) Deregister(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(name), nil, nil)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	data, status, err := c.send(req)
	if err != nil {
		// Other idle connections may be unresponsive too, so later requests open new
		// ones.
		c.client.CloseIdleConnections()
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusNotFound:
		return nil, ErrNotFound
	default:
		return nil, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	if v == nil {
		return data, nil
	}
	if err := json.Unmarshal(data, v); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return data, nil
}

func (c *Client) send(req *http.Request) ([]byte, int, error) {
	c.once.Do(func() {
		c.client.Transport = &http.Transport{
			MaxIdleConnsPerHost:    16,
			MaxResponseHeaderBytes: responseHeaderLimit,
		}
	})
	res, err := c.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, responseBodyLimit+1))
	if err == nil && len(data) > responseBodyLimit {
		err = errors.New("the response is too large")
	}
	return data, res.StatusCode, err
}
