package server

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/router/streamer"
)

func sortModels(list []model) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}

// writer writes the response to a model request, as server-sent events or as one JSON
// document.
type writer struct {
	server     *Server
	w          http.ResponseWriter
	controller *http.ResponseController
	exchange   *exchange
	generation generation
	created    int64
	// started is set when the first token has arrived or, in a streamed response, when
	// the headers are set.
	started       bool
	text          strings.Builder
	eventPrefix   []byte
	buffer        []byte
	arena         fastjson.Arena
	writeDeadline time.Time
}

func newWriter(s *Server, w http.ResponseWriter, x *exchange, g generation) *writer {
	return &writer{
		server:     s,
		w:          w,
		controller: http.NewResponseController(w),
		exchange:   x,
		generation: g,
		created:    time.Now().Unix(),
	}
}

// token adds the next token to the response; a streamed response sends it at once.
func (o *writer) token(token string) error {
	if !o.generation.stream {
		o.started = true
		o.text.WriteString(token)
		return nil
	}
	if !o.started {
		o.start()
	}
	o.buffer = append(o.buffer[:0], o.eventPrefix...)
	o.arena.Reset()
	o.buffer = o.arena.NewString(token).MarshalTo(o.buffer)
	if o.generation.chat {
		o.buffer = append(o.buffer, '}')
	}
	o.buffer = append(o.buffer, `,"finish_reason":null}]}`+"\n\n"...)
	return o.send(o.buffer)
}

// start sets the headers of a streamed response and prepares the prefix that all of
// its token events share.
func (o *writer) start() {
	o.started = true
	o.exchange.responseStarted = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.eventPrefix = append(o.eventPrefix, `data: {"id":`...)
	o.eventPrefix = o.arena.NewString(o.id()).MarshalTo(o.eventPrefix)
	o.eventPrefix = append(o.eventPrefix, `,"object":"`+o.object(true)+`","created":`...)
	o.eventPrefix = o.arena.NewNumberInt(int(o.created)).MarshalTo(o.eventPrefix)
	o.eventPrefix = append(o.eventPrefix, `,"model":`...)
	o.eventPrefix = o.arena.NewString(o.generation.model).MarshalTo(o.eventPrefix)
	o.eventPrefix = append(o.eventPrefix, `,"choices":[{"index":0,`...)
	if o.generation.chat {
		o.eventPrefix = append(o.eventPrefix, `"delta":{"role":"assistant","content":`...)
		return
	}
	o.eventPrefix = append(o.eventPrefix, `"text":`...)
}

func (o *writer) id() string {
	if o.generation.chat {
		return "chatcmpl-" + string(o.exchange.id)
	}
	return "cmpl-" + string(o.exchange.id)
}

func (o *writer) object(chunk bool) string {
	switch {
	case !o.generation.chat:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

// deadlineSlackDivisor sets when the write deadline is renewed: once the write timeout
// divided by it has passed.
const deadlineSlackDivisor = 4

// send writes one event. It fails if the caller doesn't read in time.
func (o *writer) send(event []byte) error {
	now := time.Now()
	if limit := o.server.WriteTimeout; o.writeDeadline.Sub(now) < limit-limit/deadlineSlackDivisor {
		o.writeDeadline = now.Add(limit)
		// A writer without a connection doesn't support deadlines and needs none.
		_ = o.controller.SetWriteDeadline(o.writeDeadline)
	}
	if _, err := o.w.Write(event); err != nil {
		return err
	}
	return o.controller.Flush()
}

// usage holds the token counts in the OpenAI format.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// choice is the single choice in a response.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *struct{}    `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

// completion is a complete response, or the last event of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// end completes a successful response: it sends the JSON document, or the last events
// of a stream.
func (o *writer) end(result streamer.Result) error {
	prompt := int64(len(o.generation.prompt) / bytesPerToken)
	c := completion{
		ID:      o.id(),
		Object:  o.object(o.generation.stream),
		Created: o.created,
		Model:   o.generation.model,
		Choices: []choice{o.choice(result.Finish)},
		Usage: &usage{
			PromptTokens:     prompt,
			CompletionTokens: int64(result.Tokens),
			TotalTokens:      prompt + int64(result.Tokens),
		},
	}
	if !o.generation.stream {
		o.w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(o.w).Encode(c)
	}
	if !o.started {
		o.start()
	}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	return o.send([]byte("data: " + string(data) + "\n\ndata: [DONE]\n\n"))
}

func (o *writer) choice(finish string) choice {
	empty := ""
	c := choice{FinishReason: finish}
	text := o.text.String()
	switch {
	case o.generation.stream && o.generation.chat:
		c.Delta = &struct{}{}
	case o.generation.stream:
		c.Text = &empty
	case o.generation.chat:
		c.Message = &chatMessage{
			Role:    "assistant",
			Content: text,
		}
	default:
		c.Text = &text
	}
	return c
}

// fail returns err. If the stream has started, it first sends err to the caller as an
// event.
func (o *writer) fail(err error) error {
	if !o.exchange.responseStarted {
		return err
	}
	data, encodeErr := json.Marshal(classifier.BodyOf(err))
	if encodeErr != nil {
		return err
	}
	// The connection is aborted whether or not this event arrives.
	_ = o.send([]byte("data: " + string(data) + "\n\n"))
	return err
}
