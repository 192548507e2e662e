package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
)

const (
	dialTimeout         = 500 * time.Millisecond
	responseHeaderLimit = 64 << 10  // bytes
	frameLimit          = 256 << 10 // bytes
	responseBodyLimit   = 1 << 20   // bytes
	maxIdlePerHost      = 256
	initialReadBuffer   = 4 << 10 // bytes
)

// Client is an Engine over HTTP. Its zero value is ready to use.
type Client struct {
	mu      sync.Mutex
	clients map[string]*http.Client
}

// httpClient returns the HTTP client for one address. Each address has its own client,
// so that CloseIdle closes no connections to other addresses.
func (c *Client) httpClient(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	hc, ok := c.clients[address]
	if ok {
		return hc
	}
	hc = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: responseHeaderLimit,
		DisableCompression:     true,
	}}
	if c.clients == nil {
		c.clients = make(map[string]*http.Client)
	}
	c.clients[address] = hc
	return hc
}

// CloseIdle closes every idle connection to address. Later calls open new connections.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	hc := c.clients[address]
	delete(c.clients, address)
	c.mu.Unlock()
	if hc != nil {
		hc.CloseIdleConnections()
	}
}

// Open opens a stream at the first stage of r's chain.
func (c *Client) Open(ctx context.Context, r StreamRequest) (Stream, error) {
	body, err := json.Marshal(messageOf(r))
	if err != nil {
		return nil, errors.Wrap(err, "encode stream request")
	}
	address := r.Chain[0].Address
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/streams", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	res, err := c.httpClient(address).Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, statusError(res)
	}
	s := &stream{
		body:       res.Body,
		scanner:    bufio.NewScanner(res.Body),
		request:    string(r.Request),
		wantStamps: stampsOf(r.Chain),
	}
	s.scanner.Buffer(make([]byte, initialReadBuffer), frameLimit)
	return s, nil
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

func statusError(res *http.Response) error {
	defer res.Body.Close()
	if res.StatusCode != http.StatusConflict {
		return errors.Wrapf(ErrLost, "status %d", res.StatusCode)
	}
	var e messenger.EngineError
	if err := json.NewDecoder(io.LimitReader(res.Body, responseBodyLimit)).Decode(&e); err != nil {
		return errors.Wrap(ErrLost, err.Error())
	}
	if e.Error == "old-fence" {
		return ErrStaleFence
	}
	return errors.Wrap(ErrRefused, e.Error)
}

func messageOf(r StreamRequest) messenger.EngineStream {
	m := messenger.EngineStream{
		Request:   string(r.Request),
		Prompt:    r.Prompt,
		Tokens:    r.Generated,
		MaxTokens: int64(r.MaxTokens),
		Priority:  r.Priority,
	}
	for _, s := range r.Chain {
		m.Chain = append(m.Chain, stageOf(s))
	}
	return m
}

func stageOf(s identifier.Stage) messenger.EngineStage {
	return messenger.EngineStage{
		Endpoint:    string(s.Endpoint),
		Address:     s.Address,
		Incarnation: uint64(s.Incarnation),
		From:        int32(s.From),
		To:          int32(s.To),
		Version:     string(s.Version),
	}
}

func stampsOf(chain []identifier.Stage) []string {
	stamps := make([]string, 0, len(chain))
	for _, s := range chain {
		stamps = append(stamps, stageOf(s).Stamp())
	}
	return stamps
}

// State requests an engine's state.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var m messenger.EngineState
	if err := c.call(ctx, http.MethodGet, address, "/v1/state", nil, &m); err != nil {
		return State{}, err
	}
	return stateOf(m, address), nil
}

// Order sends an order to an engine and returns the engine's state after it.
func (c *Client) Order(ctx context.Context, address string, o Order) (State, error) {
	var m messenger.EngineState
	err := c.call(ctx, http.MethodPost, address, "/v1/orders", messenger.EngineOrder{
		Fence:   uint64(o.Fence),
		Version: string(o.Version),
		From:    int32(o.From),
		To:      int32(o.To),
	}, &m)
	if err != nil {
		return State{}, err
	}
	return stateOf(m, address), nil
}

func stateOf(m messenger.EngineState, address string) State {
	return State{
		Stage: identifier.Stage{
			EndpointIncarnation: identifier.EndpointIncarnation{
				Endpoint:    identifier.Endpoint(m.Endpoint),
				Incarnation: identifier.Incarnation(m.Incarnation),
			},
			Address: address,
			From:    identifier.Layer(m.From),
			To:      identifier.Layer(m.To),
			Version: identifier.Version(m.Version),
		},
		Accelerator:   m.Accelerator,
		Slots:         m.Slots,
		TokenMicros:   m.TokenMicros,
		PrefillMicros: m.PrefillMicros,
		Running:       m.Running,
		Leaving:       m.Leaving,
		Fence:         identifier.Fence(m.Fence),
	}
}

func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	res, err := c.httpClient(address).Do(req)
	if err != nil {
		return transportError(err)
	}
	if res.StatusCode != http.StatusOK {
		return statusError(res)
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, responseBodyLimit)).Decode(out)
	return errors.Wrap(err, "decode response")
}

// stream reads an engine's response, one JSON object per line.
type stream struct {
	body       io.ReadCloser
	scanner    *bufio.Scanner
	parser     fastjson.Parser
	request    string
	wantStamps []string
}

// Next reads the next frame. A response that ends without a last frame results in
// ErrLost.
func (s *stream) Next() (Frame, error) {
	if !s.scanner.Scan() {
		err := s.scanner.Err()
		if err == nil {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, errors.Wrap(ErrLost, err.Error())
	}
	v, err := s.parser.ParseBytes(s.scanner.Bytes())
	if err != nil {
		return Frame{}, errors.Wrap(ErrLost, err.Error())
	}
	return s.decodeFrame(v), nil
}

func (s *stream) decodeFrame(v *fastjson.Value) Frame {
	f := Frame{
		RequestMatches: string(v.GetStringBytes("request")) == s.request,
		Index:          v.GetInt64("index"),
		Token:          string(v.GetStringBytes("token")),
		StampsMatch:    s.stampsMatch(v.GetArray("stamps")),
		Finish:         string(v.GetStringBytes("finish")),
		EngineError:    string(v.GetStringBytes("error")),
	}
	for _, e := range v.GetArray("leaving") {
		f.Leaving = append(f.Leaving, identifier.Endpoint(e.GetStringBytes()))
	}
	return f
}

func (s *stream) stampsMatch(got []*fastjson.Value) bool {
	if len(got) != len(s.wantStamps) {
		return false
	}
	for i, want := range s.wantStamps {
		if string(got[i].GetStringBytes()) != want {
			return false
		}
	}
	return true
}

// Close closes the stream. The engine stops when it sees the connection close.
func (s *stream) Close() error {
	return errors.Wrap(s.body.Close(), "close stream")
}
