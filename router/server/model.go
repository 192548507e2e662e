package server

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/limiter"
	"heatherhold.dev/router/streamer"
)

// completionRequest is the request body of /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int64 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	N         *int   `json:"n"`
}

// chatRequest is the request body of /v1/chat/completions.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// generation is a model request, converted from either format.
type generation struct {
	model     string
	prompt    string
	prefix    string
	maxTokens *int64
	stream    bool
	chat      bool
	n         *int
}

func (s *Server) completions(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error {
	var c completionRequest
	if err := s.decode(ctx, w, r, x, &c); err != nil {
		return err
	}
	return s.generate(ctx, w, r, x, generation{
		model:     c.Model,
		prompt:    c.Prompt,
		prefix:    firstLine(c.Prompt),
		maxTokens: c.MaxTokens,
		stream:    c.Stream,
		n:         c.N,
	})
}

func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) error {
	var c chatRequest
	if err := s.decode(ctx, w, r, x, &c); err != nil {
		return err
	}
	if len(c.Messages) == 0 {
		return classifier.New(classifier.BadRequest, "messages: want at least one message")
	}
	g := generation{
		model:     c.Model,
		prompt:    promptOf(c.Messages),
		prefix:    promptOf(c.Messages[:1]),
		maxTokens: c.MaxTokens,
		stream:    c.Stream,
		chat:      true,
		n:         c.N,
	}
	if c.MaxCompletionTokens != nil {
		g.maxTokens = c.MaxCompletionTokens
	}
	return s.generate(ctx, w, r, x, g)
}

// promptOf joins chat messages into one prompt.
func promptOf(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func firstLine(prompt string) string {
	line, _, _ := strings.Cut(prompt, "\n")
	return line
}

// decode decodes a JSON body into v. Unknown keys are ignored, because clients of
// this format send many of them.
func (s *Server) decode(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, v any) error {
	data, err := s.readBody(ctx, w, r, x)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return classifier.New(classifier.BadRequest, "malformed JSON in the request body: "+err.Error())
	}
	return nil
}

var errTooLarge = classifier.New(classifier.TooLarge, "the request body is larger than the limit")

// readBody reads the request body.
func (s *Server) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange) ([]byte, error) {
	if !s.Bodies.CheckLength(r.ContentLength, s.BodyLimit) {
		x.bodyFailed = true
		return nil, errTooLarge
	}
	if err := s.Bodies.CheckRoom(r.ContentLength, s.BodyLimit); err != nil {
		x.bodyFailed = true
		return nil, err
	}
	data, err := s.Bodies.Read(r.Body, s.BodyLimit, func() {
		// A writer without a connection doesn't support deadlines and needs none.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	x.bodyFailed = err != nil
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, limiter.ErrBodyDropped):
		return nil, err
	case errors.As(err, &tooLarge):
		return nil, errTooLarge
	case err != nil && errors.Is(context.Cause(ctx), classifier.ErrStopping):
		return nil, classifier.NewStopping(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.New(classifier.TooSlow, "the request body did not arrive in time")
	case err != nil:
		return nil, classifier.Wrap(classifier.BadRequest, err, "the request body could not be read")
	}
	x.releaseBody, err = s.Bodies.Hold(int64(len(data)), s.BodyLimit)
	return data, err
}

// bytesPerToken is used to estimate a prompt's number of tokens from its length.
const bytesPerToken = 4

// generate runs a model request and sends the response, either streamed or as one
// JSON document.
func (s *Server) generate(ctx context.Context, w http.ResponseWriter, r *http.Request, x *exchange, g generation) error {
	request, err := s.newRequest(r, x, g)
	if err != nil {
		return err
	}
	start := time.Now()
	out := newWriter(s, w, x, g)
	result, err := s.Streamer.Run(ctx, request, func(token string) error {
		if !out.started {
			s.Reporter.RecordFirstToken(request.Ask.GetRank(), time.Since(start))
		}
		return out.token(token)
	})
	s.Reporter.CountTokens(request.Ask.GetRank(), result)
	if err != nil {
		return out.fail(err)
	}
	return out.end(result)
}

// newRequest validates a model request and returns the request for the streamer.
func (s *Server) newRequest(r *http.Request, x *exchange, g generation) (streamer.Request, error) {
	name := identifier.Service(g.model)
	if err := checkAccess(x.view, x.caller, name); err != nil {
		return streamer.Request{}, err
	}
	service := x.view.Declaration.Service[name]
	if service.Kind != declarer.Model {
		return streamer.Request{}, classifier.New(classifier.BadRequest, "model: "+g.model+" is a plain service")
	}
	limit, err := tokenLimit(g, service)
	if err != nil {
		return streamer.Request{}, err
	}
	rankName, err := rankOf(r, x)
	if err != nil {
		return streamer.Request{}, err
	}
	rank := x.view.Declaration.Rank[rankName]
	return streamer.Request{
		ID:              x.id,
		Service:         name,
		Prompt:          g.prompt,
		MaxTokens:       limit,
		Priority:        rank.Order,
		Layers:          service.Layers,
		Version:         service.Version,
		Allowed:         s.accessCheck(r, name),
		ProgressTimeout: service.ProgressTimeout.Std(),
		TokenGapTarget:  rank.BetweenTokens.Std(),
		Ask: &messenger.Ask{
			Customer:     string(x.caller.Customer),
			Rank:         string(rankName),
			Free:         x.caller.Tier == identifier.Free,
			Weight:       x.caller.Weight,
			PromptTokens: int64(len(g.prompt)/bytesPerToken) + 1,
			OutputTokens: int64(limit),
			Prefix:       xxhash.Sum64String(g.prefix),
			DataCentre:   string(s.DataCentre),
			Terms:        granter.TermsOf(&rank),
		},
	}, nil
}

func tokenLimit(g generation, service declarer.Service) (identifier.Tokens, error) {
	if g.prompt == "" {
		return 0, classifier.New(classifier.BadRequest, "the prompt is empty")
	}
	if g.n != nil && *g.n != 1 {
		return 0, classifier.New(classifier.BadRequest, "n: only 1 completion per request is supported")
	}
	if g.maxTokens == nil {
		return service.MaxTokens, nil
	}
	if *g.maxTokens < 1 || identifier.Tokens(*g.maxTokens) > service.MaxTokens {
		return 0, classifier.New(classifier.BadRequest, "max_tokens: want at least 1 and at most the service's limit")
	}
	return identifier.Tokens(*g.maxTokens), nil
}

// rankHeader names the rank that the request asks for. It must not be more urgent
// than the caller's own.
const rankHeader = "Heatherhold-Rank"

// rankOf returns the rank of a request: the one in its rankHeader, otherwise the
// caller's own.
func rankOf(r *http.Request, x *exchange) (identifier.Rank, error) {
	requested := identifier.Rank(r.Header.Get(rankHeader))
	if requested == "" || requested == x.caller.Rank {
		return x.caller.Rank, nil
	}
	rank, ok := x.view.Declaration.Rank[requested]
	if !ok {
		return "", classifier.New(classifier.BadRequest, "unknown rank "+string(requested))
	}
	if rank.Order < x.view.Declaration.Rank[x.caller.Rank].Order {
		return "", classifier.New(classifier.Forbidden, "the requested rank is more urgent than the caller's")
	}
	return requested, nil
}

// model is an entry in the response of /v1/models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(_ context.Context, w http.ResponseWriter, _ *http.Request, x *exchange) error {
	list := []model{}
	for name, service := range x.view.Declaration.Service {
		if service.Kind == declarer.Model && x.caller.MayUse(name) {
			list = append(list, model{
				ID:      string(name),
				Object:  "model",
				OwnedBy: "heatherhold",
			})
		}
	}
	sortModels(list)
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{
		Object: "list",
		Data:   list,
	})
}
