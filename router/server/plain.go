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
	keyHeader = "Idempotency-Key"
	keyLimit  = 255 // bytes
)

// hopHeaders concern one connection and are not passed on; the key in
// Authorization is for heatherhold alone.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// forward passes a call to a plain service.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error {
	name := identifier.Service(mux.Vars(r)["service"])
	if err := may(x.view, x.caller, name); err != nil {
		return err
	}
	service := x.view.Declaration.Service[name]
	if service.Kind != declarer.Plain {
		return classifier.New(classifier.BadRequest, string(name)+" is a model service: use /v1")
	}
	data, err := body(r)
	if err != nil {
		return err
	}
	call := forwarder.Call{
		Request:    x.id,
		Service:    name,
		Method:     r.Method,
		Path:       strings.TrimPrefix(r.URL.RequestURI(), "/services/"+string(name)),
		Header:     passed(r.Header),
		Body:       data,
		Progress:   service.Progress.Std(),
		Repeatable: slices.Contains(service.RepeatableMethods, r.Method),
		Allowed:    s.allowed(r, name),
	}
	s.Reporter.Inject(ctx, call.Header)
	if !call.Repeatable {
		if err := claimed(r, x, &call); err != nil {
			return err
		}
	}
	answer, err := s.Forwarder.Forward(ctx, call)
	if err != nil {
		return err
	}
	return write(w, answer)
}

// claimed names the call by its idempotency key.
func claimed(r *http.Request, x *exchange, call *forwarder.Call) error {
	key := r.Header.Get(keyHeader)
	if key == "" || len(key) > keyLimit {
		return classifier.New(classifier.BadRequest, keyHeader+": want 1 to 255 bytes, since this call must not be repeated")
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

func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func write(w http.ResponseWriter, a *claimer.Answer) error {
	for name, values := range passed(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}
