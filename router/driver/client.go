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
	dialTimeout  = 500 * time.Millisecond
	headLimit    = 64 << 10  // bytes
	frameLimit   = 256 << 10 // bytes
	bodyLimit    = 1 << 20   // bytes
	idlePerHost  = 256
	readerBuffer = 4 << 10 // bytes
)

// Client is the Engine over HTTP. Its zero value is ready.
type Client struct {
	mu      sync.Mutex
	clients map[string]*http.Client
}

// client returns the connections to one address; each address has its own, so
// that a silent one can be closed as a whole.
func (c *Client) client(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.clients[address]
	if ok {
		return h
	}
	h = &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idlePerHost,
		MaxResponseHeaderBytes: headLimit,
		DisableCompression:     true,
	}}
	if c.clients == nil {
		c.clients = make(map[string]*http.Client)
	}
	c.clients[address] = h
	return h
}

// Forget closes every idle connection to address and dials anew from now on.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	h := c.clients[address]
	delete(c.clients, address)
	c.mu.Unlock()
	if h != nil {
		h.CloseIdleConnections()
	}
}

// Open starts a stream at the first stage of w's chain.
func (c *Client) Open(ctx context.Context, w Work) (Stream, error) {
	body, err := json.Marshal(messageOf(w))
	if err != nil {
		return nil, errors.Wrap(err, "encode work")
	}
	address := w.Chain[0].Address
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/streams", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	res, err := c.client(address).Do(req)
	if err != nil {
		return nil, lost(err)
	}
	if res.StatusCode != http.StatusOK {
		return nil, refused(res)
	}
	s := &stream{
		body:    res.Body,
		scanner: bufio.NewScanner(res.Body),
		request: string(w.Request),
		want:    stampsOf(w.Chain),
	}
	s.scanner.Buffer(make([]byte, readerBuffer), frameLimit)
	return s, nil
}

func lost(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrNotReached, err.Error())
	}
	return errors.Wrap(ErrLost, err.Error())
}

func refused(res *http.Response) error {
	defer res.Body.Close()
	if res.StatusCode != http.StatusConflict {
		return errors.Wrapf(ErrLost, "status %d", res.StatusCode)
	}
	var e messenger.EngineError
	if err := json.NewDecoder(io.LimitReader(res.Body, bodyLimit)).Decode(&e); err != nil {
		return errors.Wrap(ErrLost, err.Error())
	}
	if e.Error == "old-fence" {
		return ErrOldFence
	}
	return errors.Wrap(ErrRefused, e.Error)
}

func messageOf(w Work) messenger.EngineStream {
	m := messenger.EngineStream{
		Request:   string(w.Request),
		Prompt:    w.Prompt,
		Tokens:    w.Held,
		MaxTokens: int64(w.MaxTokens),
		Priority:  w.Priority,
	}
	for _, s := range w.Chain {
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

// State asks an engine for its report.
func (c *Client) State(ctx context.Context, address string) (State, error) {
	var m messenger.EngineState
	if err := c.call(ctx, http.MethodGet, address, "/v1/state", nil, &m); err != nil {
		return State{}, err
	}
	return stateOf(m, address), nil
}

// Order hands an engine an order and returns the state after it.
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
			Life: identifier.Life{
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
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	res, err := c.client(address).Do(req)
	if err != nil {
		return lost(err)
	}
	if res.StatusCode != http.StatusOK {
		return refused(res)
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, bodyLimit)).Decode(out)
	return errors.Wrap(err, "decode answer")
}

// stream reads an engine's answer, one JSON object a line.
type stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	parser  fastjson.Parser
	request string
	want    []string
}

// Next reads the next frame. An answer that ends without its last frame is lost.
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
	return s.frame(v), nil
}

func (s *stream) frame(v *fastjson.Value) Frame {
	f := Frame{
		Mine:    string(v.GetStringBytes("request")) == s.request,
		Index:   v.GetInt64("index"),
		Token:   string(v.GetStringBytes("token")),
		Stamped: s.stamped(v.GetArray("stamps")),
		Finish:  string(v.GetStringBytes("finish")),
		Failed:  string(v.GetStringBytes("error")),
	}
	for _, e := range v.GetArray("leaving") {
		f.Leaving = append(f.Leaving, identifier.Endpoint(e.GetStringBytes()))
	}
	return f
}

func (s *stream) stamped(got []*fastjson.Value) bool {
	if len(got) != len(s.want) {
		return false
	}
	for i, want := range s.want {
		if string(got[i].GetStringBytes()) != want {
			return false
		}
	}
	return true
}

// Close ends the stream; the engine sees its connection close and stops.
func (s *stream) Close() error {
	return errors.Wrap(s.body.Close(), "close stream")
}
