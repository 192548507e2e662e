package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/forwarder"
)

const (
	idempotencyHeader = "Idempotency-Key"
	maxKeyBytes       = 255
)

// droppedHeaders are not forwarded: most of them concern a single connection, and
// Authorization contains the caller's key, which is meant only for heatherhold.
var droppedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// forward forwards a call to a plain service.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error {
	name := identifier.Service(mux.Vars(r)["service"])
	if err := checkAccess(x.view, x.caller, name); err != nil {
		return err
	}
	service := x.view.Declaration.Service[name]
	if service.Kind != declarer.Plain {
		return classifier.New(classifier.BadRequest, string(name)+" is a model service: use the paths under /v1")
	}
	data, err := s.readBody(ctx, w, r, x)
	if err != nil {
		return err
	}
	call := forwarder.Call{
		Request:        x.id,
		Service:        name,
		Method:         r.Method,
		Path:           strings.TrimPrefix(r.URL.RequestURI(), "/services/"+string(name)),
		Header:         forwardedHeader(r.Header),
		Body:           data,
		AttemptTimeout: service.ProgressTimeout.Std(),
		Repeatable:     slices.Contains(service.RepeatableMethods, r.Method),
		Allowed:        s.accessCheck(r, name),
	}
	s.Reporter.Inject(ctx, call.Header)
	if !call.Repeatable {
		if err := setClaim(r, x, &call); err != nil {
			return err
		}
	}
	response, err := s.Forwarder.Forward(ctx, call)
	if err != nil {
		return err
	}
	return writeResponse(w, response)
}

// setClaim sets call.Claim from the idempotency key, and call.Hash to the SHA-256 of
// the call's method, path and body.
func setClaim(r *http.Request, x *exchange, call *forwarder.Call) error {
	key := r.Header.Get(idempotencyHeader)
	if key == "" || len(key) > maxKeyBytes {
		return classifier.New(classifier.BadRequest, idempotencyHeader+": want 1 to 255 bytes, because this call must not be repeated")
	}
	sum := sha256.New()
	// Writing to a hash can't fail.
	_, _ = sum.Write([]byte(call.Method + " " + call.Path + "\n"))
	_, _ = sum.Write(call.Body)
	call.Hash = hex.EncodeToString(sum.Sum(nil))
	call.Claim = claimer.Key{
		Customer: x.caller.Customer,
		Service:  call.Service,
		Key:      key,
	}
	return nil
}

// forwardedHeader returns a copy of h without the headers that are not forwarded, and without those
// that h itself says are for its connection alone.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}

func writeResponse(w http.ResponseWriter, response *claimer.Response) error {
	for name, values := range forwardedHeader(response.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Status)
	_, err := w.Write(response.Body)
	return err
}
