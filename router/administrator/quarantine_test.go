package administrator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/administrator"
	"heatherhold.dev/router/quarantiner"
)

// keyHash is the SHA-256 hash of "k".
const keyHash = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"

// TestQuarantineInterface requires that operators list and release parts, that others
// can't, and that bad input is refused.
func TestQuarantineInterface(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	q := &quarantiner.Quarantiner{
		Self: "i1",
		Live: func() []identifier.Instance { return []identifier.Instance{"i1"} },
		Log:  log,
	}
	for _, name := range []identifier.Endpoint{"a", "b", "c"} {
		q.RecordCrash(time.Now().Add(-time.Second), identifier.EndpointIncarnation{Endpoint: name}, []quarantiner.Key{quarantiner.PartKey("bad")})
		q.RecordCrash(time.Now().Add(-time.Second), identifier.EndpointIncarnation{Endpoint: "of-" + name}, []quarantiner.Key{quarantiner.RequestKey("f00d")})
	}
	for _, test := range []struct {
		name, hash, key, method, path, body string
		status                              int
		want                                string
	}{
		{"no key set", "", "k", http.MethodGet, "/v1/quarantine", "", http.StatusUnauthorized, "unauthenticated"},
		{"wrong key", keyHash, "x", http.MethodGet, "/v1/quarantine", "", http.StatusUnauthorized, "unauthenticated"},
		{"list", keyHash, "k", http.MethodGet, "/v1/quarantine", "", http.StatusOK, `"part":"bad","condemned":true,"crashes":3`},
		{"bad body", keyHash, "k", http.MethodPost, "/v1/quarantine/releases", "{", http.StatusBadRequest, "bad-request"},
		{"unknown part", keyHash, "k", http.MethodPost, "/v1/quarantine/releases", `{"part":"x"}`, http.StatusNotFound, "not-found"},
		{"release", keyHash, "k", http.MethodPost, "/v1/quarantine/releases", `{"part":"bad"}`, http.StatusOK, "bad"},
		{"request in the list", keyHash, "k", http.MethodGet, "/v1/quarantine", "", http.StatusOK, `"part":"request:f00d","condemned":true,"crashes":3`},
		{"release of a request", keyHash, "k", http.MethodPost, "/v1/quarantine/releases", `{"part":"request:f00d"}`, http.StatusOK, "f00d"},
		{"list after it", keyHash, "k", http.MethodGet, "/v1/quarantine", "", http.StatusOK, `"parts":[]`},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := mux.NewRouter()
			a := &administrator.Quarantine{
				Quarantiner: q,
				KeySHA256:   test.hash,
				Log:         log,
			}
			a.Register(r)
			request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			request.Header.Set("Authorization", "Bearer "+test.key)
			w := httptest.NewRecorder()
			r.ServeHTTP(w, request)
			if got := w.Body.String(); w.Code != test.status || !strings.Contains(got, test.want) {
				t.Errorf("got status %d and body %s, want %d and %s", w.Code, got, test.status, test.want)
			}
		})
	}
}
