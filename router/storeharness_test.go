package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"heatherhold.dev/platform/faker"
)

// storeSystem is one router process on a platform with a store, and its endpoints: "orders" is a
// plain service, and "draft" a model service with one place.
type storeSystem struct {
	*system
	*router
	store *faker.Store
	ready string
}

// storeConfiguration routes to the services of a storeSystem.
const storeConfiguration = `{"version":7,"routes":[
 {"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent","timeout_ms":30000,"service":"orders","attempts":1,"public":true},
 {"name":"again","host":"h","prefix":"/again/","kind":"idempotent","timeout_ms":30000,"service":"orders","attempts":2,"public":true},
 {"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":30000,"goal_ms":20000,"gap_aim_ms":20000,"service":"draft","attempts":2,"resumable":true,"public":true}],
 "services":[{"name":"orders"},{"name":"draft","engine":{"slots":1,"step_ms":2,"read_per_s":1000,"layers":8,"layer_mb":10,"kv_bytes":1000,
  "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}],"models":[{"name":"x","load_s":1}],"usual":{"prompt":10,"answer":5}}}],
 "limits":{"header_timeout_ms":20000,"idle_timeout_ms":20000}}`

// newStoreSystem starts a router whose planned stop may take finish and which takes requests for
// notice of it. The endpoints of the plain service and of the model service serve plain and model.
func newStoreSystem(t *testing.T, notice, finish time.Duration, plain, model http.HandlerFunc) *storeSystem {
	t.Helper()
	store, client := faker.New(t)
	s := &storeSystem{
		system: &system{
			t:   t,
			dir: t.TempDir(),
		},
		router: &router{
			caller:   freeAddress(t),
			operator: freeAddress(t),
			peer:     freeAddress(t),
		},
		store: store,
		ready: freeAddress(t),
	}
	store.Write("op", "config", storeConfiguration)
	s.addEndpoint("i-1", "orders", plain)
	s.addEndpoint("i-2", "draft", model)
	s.settings = filepath.Join(s.dir, "router.toml")
	if err := os.WriteFile(s.settings, []byte(s.storeSettings(client.Address, notice, finish)), 0o600); err != nil {
		t.Fatal(err)
	}
	s.process = s.start("r1", "router", "--settings", s.settings)
	eventually(t, "the router is ready", s.checkReady)
	return s
}

// addEndpoint starts an endpoint and enters it in the store. Its answers bear the signature and the
// request's id.
func (s *storeSystem) addEndpoint(name, service string, h http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", name)
		if r.URL.Path == "/report" || r.URL.Path == "/order" {
			http.NotFound(w, r)
			return
		}
		h(w, r)
	}))
	s.t.Cleanup(server.Close)
	s.t.Cleanup(server.CloseClientConnections)
	s.store.Write("servers", name, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":1,"state":"ready","cold_left_ms":0,"seq":1,"born":1,"kind":"k","layers":{"from":0,"to":8,"version":1}}`,
		service, server.Listener.Addr()))
}

func (s *storeSystem) storeSettings(store string, notice, finish time.Duration) string {
	return fmt.Sprintf(`
instance = "r1"
data-centre = "z"
site = "z"
[listen]
caller = %q
ready = %q
operator = %q
peer = %q
[platform]
timeout = "500ms"
list-interval = "1s"
[peer]
security = "plain"
interval = "100ms"
term = "5s"
silence = "1s"
[stop]
notice = %q
finish = %q
[store]
address = %q
seeds = []
wait = "500ms"
pace = "50ms"
lapse = "2s"
retry-ratio = 1.0
retry-burst = 10.0
retry-window = "10s"
`, s.caller, s.ready, s.operator, s.peer, notice, finish, store)
}

func (s *storeSystem) checkReady() error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.ready+"/ready", nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("got status %d, want 200", res.StatusCode)
	}
	return nil
}

// dial opens a connection to the router.
func (s *storeSystem) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	return c
}

// header returns the header of a request, with extra header fields.
func header(method, path string, extra ...string) string {
	fields := append([]string{method + " " + path + " HTTP/1.1", "Host: h", "X-Request-Id: " + strings.ReplaceAll(path, "/", "-")}, extra...)
	return strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// answer is what a caller gets to one request.
type answer struct {
	status int
	body   string
	// retryAfter, stamp, the endpoint's signature, and close are of the header.
	retryAfter string
	stamp      string
	close      bool
	// err is set if the answer isn't complete.
	err error
	// at is when it ended.
	at time.Time
}

// readAnswer reads the answer to one request from c, after any interim answers.
func readAnswer(c net.Conn) answer {
	responses := bufio.NewReader(c)
	res, err := http.ReadResponse(responses, nil)
	for err == nil && res.StatusCode == http.StatusContinue {
		res, err = http.ReadResponse(responses, nil)
	}
	if err != nil {
		return answer{
			err: err,
			at:  time.Now(),
		}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{
		status:     res.StatusCode,
		body:       string(body),
		retryAfter: res.Header.Get("Retry-After"),
		stamp:      res.Header.Get("X-Server-Stamp"),
		close:      res.Close,
		err:        err,
		at:         time.Now(),
	}
}

// send sends a request over a new connection, and returns the answer once there is one.
func (s *storeSystem) send(t *testing.T, request string) <-chan answer {
	t.Helper()
	c := s.dial(t)
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	return s.await(c)
}

// await returns the answer to the request sent over c once there is one.
func (s *storeSystem) await(c net.Conn) <-chan answer {
	answers := make(chan answer, 1)
	time.AfterFunc(0, func() { answers <- readAnswer(c) })
	return answers
}
