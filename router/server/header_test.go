package server_test

import (
	"net/http"
	"testing"
)

// TestConnectionHeaderForwarded guards against header fields that the caller names as those of its
// connection alone reaching the service.
func TestConnectionHeaderForwarded(t *testing.T) {
	headers := make(chan http.Header, 1)
	_, address := newServer(t, func(_ http.ResponseWriter, r *http.Request) { headers <- r.Header })
	request := "GET /services/orders/a HTTP/1.1\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Other: 2\r\n\r\n"
	if got := <-send(t, address, request); got.err != nil || got.status != http.StatusOK {
		t.Fatalf("got %+v, want 200", got)
	}
	got := <-headers
	if got.Get("X-Mine") != "" || got.Get("X-Other") != "2" {
		t.Errorf("got header %v, want X-Other without X-Mine", got)
	}
}
