package receiver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/reporter"
)

// TestCompleteBodyPassedOnOverMemory guards against passing on a request whose body the instance has no memory
// to hold, and against keeping the memory of requests that have ended.
func TestCompleteBodyPassedOnOverMemory(t *testing.T) {
	const bodyBytes = 40 << 10
	site := newSite()
	site.Limits.BodyBytes = bodyBytes
	x, _ := newReceiver(site)
	log := logrus.New()
	log.SetOutput(io.Discard)
	x.Bodies = limiter.NewBodies()
	x.Bodies.Limit = bodyBytes
	x.Bodies.Reporter = reporter.New(nil)
	x.Bodies.Log = log
	send := func(announced int64) int {
		r := httptest.NewRequest(http.MethodPost, "http://h.example/orders/1", strings.NewReader(strings.Repeat("x", bodyBytes)))
		r.ContentLength = announced
		r.Header.Set("Key", "k")
		w := httptest.NewRecorder()
		x.ServeHTTP(w, r)
		if w.Code == http.StatusTooManyRequests && w.Header().Get("Retry-After") == "" {
			t.Error("got a refusal without Retry-After")
		}
		return w.Code
	}
	// There is no endpoint, which a request that is passed on is told at once.
	calm := send(bodyBytes)
	if got := x.Bodies.Held(); got != 0 {
		t.Errorf("got %d bytes held after the request, want none", got)
	}
	release, err := x.Bodies.Hold(2*bodyBytes, bodyBytes)
	if err != nil {
		t.Fatal(err)
	}
	for name, announced := range map[string]int64{
		"announced": bodyBytes,
		"chunked":   -1,
	} {
		r := send(announced)
		if r != http.StatusTooManyRequests {
			t.Errorf("%s: got status %d while the memory is full, want 429", name, r)
		}
	}
	if got, want := x.Bodies.Held(), int64(2*bodyBytes); got != want {
		t.Errorf("got %d bytes held after refusals, want %d", got, want)
	}
	release()
	if got := send(bodyBytes); got != calm {
		t.Errorf("got status %d once there is room, want %d as before", got, calm)
	}
}
