package main_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherhold.dev/platform/faker"
)

// oddConfiguration routes to a plain service and to a model service.
const oddConfiguration = `{"version":7,"routes":[
 {"name":"plain","host":"h","prefix":"/plain/","kind":"non_idempotent","timeout_ms":5000,"service":"orders","attempts":3,"public":true},
 {"name":"model","host":"h","prefix":"/model/","kind":"streaming","timeout_ms":5000,"goal_ms":2000,"gap_aim_ms":2000,"service":"drafts","attempts":3,"resumable":true,"public":true}],
 "services":[{"name":"orders"},{"name":"drafts","engine":{"slots":8,"step_ms":2,"read_per_s":1000,"layers":8,"layer_mb":10,"kv_bytes":1000,
  "kinds":[{"name":"k","mb":1000,"pace":1,"read_x":1}],"models":[{"name":"x","load_s":1}],"usual":{"prompt":10,"answer":5}}}],
 "limits":{"header_timeout_ms":20000,"idle_timeout_ms":20000}}`

// noBase64 is a value that the stand-in store replaces by what is no base64 text.
const noBase64 = "no base64"

// oddStore serves a store, except that each value noBase64 is no base64 text.
func oddStore(store *faker.Store) http.HandlerFunc {
	value := []byte(`"` + base64.StdEncoding.EncodeToString([]byte(noBase64)) + `"`)
	odd := []byte(`{"a":[` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `]}`)
	return func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		store.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		// The router sees a response that was not written as a failed call.
		_, _ = w.Write(bytes.ReplaceAll(recorder.Body.Bytes(), value, odd))
	}
}

// endpointRow returns the row of an endpoint that started at born.
func endpointRow(service, address string, born int, layers string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":%d,"kind":"k","layers":%s}`,
		service, address, born, layers)
}

const wholeModel = `{"from":0,"to":8,"version":1}`

// startEndpoint starts an endpoint that serves what is meant for it, and enters it in the store.
// It returns its address.
func startEndpoint(t *testing.T, store *faker.Store, name, service string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Expect-Instance") != name {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Server-Stamp", name)
		if service == "orders" {
			fmt.Fprint(w, "done")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	store.Write("servers", name, endpointRow(service, address, 1_700_000_000_000, wholeModel))
	return address
}

// oddEndpointRows returns rows among those of the endpoints that name none to use, by key.
func oddEndpointRows(plain, model string) map[string]string {
	rows := map[string]string{
		"odd-base64":   noBase64,
		"odd-empty":    "",
		"odd-nested":   strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"odd-field":    strings.Replace(endpointRow("drafts", model, 1, wholeModel), `"v1"`, strings.Repeat("[", 9000)+strings.Repeat("]", 9000), 1),
		"odd-utf8":     strings.Replace(endpointRow("drafts", model, 1, wholeModel), "drafts", "\xff\xfe", 1),
		"odd-megabyte": strings.Replace(endpointRow("drafts", model, 1, wholeModel), `"ready"`, `"`+strings.Repeat("x", 1<<20)+`"`, 1),
		"odd-digits":   strings.Replace(endpointRow("drafts", model, 1, wholeModel), `"slots":8`, `"slots":`+strings.Repeat("9", 1<<16), 1),
		"odd-slots":    strings.Replace(endpointRow("orders", plain, 1, "null"), `"slots":8`, `"slots":-8`, 1),
		"odd-state":    strings.Replace(endpointRow("orders", plain, 1, "null"), "ready", "sleeping", 1),
		"odd-service":  endpointRow("painters", plain, 1, "null"),
		"odd-twice":    strings.Replace(endpointRow("orders", plain, 1, "null"), `{`, `{"address":"nowhere","service":7,`, 1),
		"odd-start":    strings.Replace(endpointRow("orders", plain, 1, "null"), `"born":1`, `"born":18446744073709551615`, 1),
		"odd-start-2":  strings.Replace(endpointRow("drafts", model, 1, wholeModel), `"born":1`, `"born":9007199254740993`, 1),
		"odd-same":     endpointRow("drafts", model, 1_700_000_000_000, wholeModel),
		"odd-same-2":   endpointRow("orders", plain, 1_700_000_000_000, "null"),
		"odd-key\r\nX": endpointRow("orders", plain, 1, "null"),
	}
	for i, port := range []string{"0", "-1", "65536", "70000", "99999999999999999999", "x"} {
		rows[fmt.Sprintf("odd-port-%d", i)] = endpointRow("orders", "127.0.0.1:"+port, 2, "null")
	}
	for i, layers := range []string{
		`{"from":0,"to":2000000000,"version":1}`, `{"from":2000000000,"to":2000000001,"version":1}`, `{"from":-2147483648,"to":8,"version":1}`,
		`{"from":0,"to":9223372036854775807,"version":1}`, `{"from":8,"to":0,"version":1}`, `[0,8]`, `{"from":0,"to":8,"version":1e400}`,
	} {
		rows[fmt.Sprintf("odd-layers-%d", i)] = endpointRow("drafts", fmt.Sprintf("127.0.0.1:%d", i+1), 3, layers)
	}
	return rows
}

// writeOddRows writes odd rows into all tables that a router reads.
func writeOddRows(store *faker.Store, plain, model string) {
	for key, value := range oddEndpointRows(plain, model) {
		store.Write("servers", key, value)
	}
	store.Write("op", "odd", noBase64)
	store.Write("op", "odd-2", oddConfiguration)
	for i, value := range []string{noBase64, "", "{}", "[]", `{"name":"r1"}`, `{"name":"odd-6","role":"router","address":"x","incarnation":18446744073709551615,"processor":4294967295}`} {
		store.Write("heatherhold-instances", fmt.Sprintf("odd-%d", i+1), value)
	}
	store.Write("heatherhold-leases", "placement", `{"holder":"x","session":"s","era":1,"until":9223372036854775807}`)
	store.Write("heatherhold-leases", "odd", noBase64)
	store.Write("heatherhold-parts", "condemned", `{"parts":[{"part":5},[[]],{"part":"p","crashes":[{"endpoint":"e","at-ms":1e400}]}]}`)
}

// oddSettings returns the settings of a router on a platform with a store.
func oddSettings(r *router, ready, store string) string {
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
list-interval = "500ms"
[peer]
security = "plain"
interval = "100ms"
term = "5s"
silence = "1s"
[store]
address = %q
seeds = []
wait = "500ms"
pace = "50ms"
lapse = "2s"
retry-ratio = 1.0
retry-burst = 100.0
retry-window = "10s"
`, r.caller, ready, r.operator, r.peer, store)
}

// requestOnce sends one request and requires the endpoint's own, whole answer.
func requestOnce(ctx context.Context, caller, path, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+caller+path, strings.NewReader("body"))
	if err != nil {
		return err
	}
	req.Host = "h"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "4000")
	if strings.HasPrefix(path, "/model/") {
		req.Header.Set("X-Model", "x")
		req.Header.Set("X-Token-Count", "10,2")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK || res.Header.Get("X-Server-Stamp") == "" {
		return fmt.Errorf("%s %s: got status %d and body %.100q, want 200 and a signature", path, id, res.StatusCode, body)
	}
	return nil
}

// TestOddRowsStopRouter guards against a router that ends, or that stops following the store or
// serving requests, because another writer has left odd rows in its tables: while they are
// there, while they are written again and again, and after a start beside them.
func TestOddRowsStopRouter(t *testing.T) {
	store, _ := faker.New(t)
	server := httptest.NewServer(oddStore(store))
	t.Cleanup(server.Close)
	s := &system{
		t:   t,
		dir: t.TempDir(),
	}
	r := &router{
		caller:   freeAddress(t),
		operator: freeAddress(t),
		peer:     freeAddress(t),
	}
	ready := freeAddress(t)
	settings := filepath.Join(s.dir, "router.toml")
	if err := os.WriteFile(settings, []byte(oddSettings(r, ready, strings.TrimPrefix(server.URL, "http://"))), 0o600); err != nil {
		t.Fatal(err)
	}
	store.Write("op", "config", oddConfiguration)
	plain := startEndpoint(t, store, "i-1", "orders")
	model := startEndpoint(t, store, "i-2", "drafts")
	writeOddRows(store, plain, model)
	r.process = s.start("r1", "router", "--settings", settings)
	serve := func() error {
		if err := requestOnce(t.Context(), r.caller, "/plain/", "first"); err != nil {
			return err
		}
		return requestOnce(t.Context(), r.caller, "/model/", "first")
	}
	eventually(t, "the router serves beside odd rows", serve)
	var group errgroup.Group
	end := time.Now().Add(4 * time.Second)
	for _, path := range []string{"/plain/", "/model/"} {
		group.Go(func() error {
			for i := 0; time.Now().Before(end); i++ {
				if err := requestOnce(t.Context(), r.caller, path, fmt.Sprintf("r%d", i)); err != nil {
					return err
				}
				time.Sleep(5 * time.Millisecond)
			}
			return nil
		})
	}
	for time.Now().Before(end) {
		writeOddRows(store, plain, model)
		time.Sleep(200 * time.Millisecond)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	store.Delete("servers", "i-1")
	startEndpoint(t, store, "i-3", "orders")
	eventually(t, "an endpoint that is new beside odd rows serves", serve)
	select {
	case <-r.done:
		t.Error("the router ended, want it running")
	default:
	}
	checkOddRowsLogged(t, r.logText())
}

// readableRows are the odd rows that can be read.
var readableRows = []string{"odd-service", "odd-utf8", "odd-same", "odd-same-2", "odd-layers-0", "odd-layers-1"}

// checkOddRowsLogged requires that each odd row that cannot be read was logged, and once.
func checkOddRowsLogged(t *testing.T, log string) {
	t.Helper()
	const lineLimit = 2 << 10
	for line := range strings.Lines(log) {
		if len(line) > lineLimit {
			t.Errorf("got a log line of %d bytes, want at most %d: %.200s", len(line), lineLimit, line)
		}
	}
	for key := range oddEndpointRows("", "") {
		field := "key=" + key + " "
		if strings.ContainsAny(key, "\r\n") {
			field = fmt.Sprintf("key=%q ", key)
		}
		want := 1
		if slices.Contains(readableRows, key) {
			want = 0
		}
		if got := strings.Count(log, field); got != want {
			t.Errorf("row %q: got %d log lines, want %d", key, got, want)
		}
	}
}
