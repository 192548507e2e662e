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

// writer answers one model request, as server-sent events or whole.
type writer struct {
	server     *Server
	w          http.ResponseWriter
	controller *http.ResponseController
	exchange   *exchange
	generation generation
	created    int64
	started    bool
	whole      strings.Builder
	head       []byte
	buffer     []byte
	arena      fastjson.Arena
	deadline   time.Time
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

// token takes the next token of the answer.
func (o *writer) token(token string) error {
	if !o.generation.stream {
		o.started = true
		o.whole.WriteString(token)
		return nil
	}
	if !o.started {
		o.start()
	}
	o.buffer = append(o.buffer[:0], o.head...)
	o.arena.Reset()
	o.buffer = o.arena.NewString(token).MarshalTo(o.buffer)
	if o.generation.chat {
		o.buffer = append(o.buffer, '}')
	}
	o.buffer = append(o.buffer, `,"finish_reason":null}]}`+"\n\n"...)
	return o.send(o.buffer)
}

// start sends the headers and prepares what every event begins with.
func (o *writer) start() {
	o.started = true
	o.exchange.wrote = true
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.head = append(o.head, `data: {"id":`...)
	o.head = o.arena.NewString(o.id()).MarshalTo(o.head)
	o.head = append(o.head, `,"object":"`+o.object(true)+`","created":`...)
	o.head = o.arena.NewNumberInt(int(o.created)).MarshalTo(o.head)
	o.head = append(o.head, `,"model":`...)
	o.head = o.arena.NewString(o.generation.model).MarshalTo(o.head)
	o.head = append(o.head, `,"choices":[{"index":0,`...)
	if o.generation.chat {
		o.head = append(o.head, `"delta":{"role":"assistant","content":`...)
		return
	}
	o.head = append(o.head, `"text":`...)
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

// deadlineSlack is how much of a write deadline may pass before it is renewed.
const deadlineSlack = 4 // one part in so many

// send writes one event; a caller that does not read in time is given up.
func (o *writer) send(event []byte) error {
	now := time.Now()
	if limit := o.server.WriteTimeout; o.deadline.Sub(now) < limit-limit/deadlineSlack {
		o.deadline = now.Add(limit)
		// A writer without deadlines has no slow callers.
		_ = o.controller.SetWriteDeadline(o.deadline)
	}
	if _, err := o.w.Write(event); err != nil {
		return err
	}
	return o.controller.Flush()
}

// usage counts tokens as the format wants it.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// choice is the one answer to a request.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *struct{}    `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason"`
}

// completion is a whole answer, or the last event of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// end sends the rest of a whole answer.
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
	text := o.whole.String()
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

// fail tells a caller that reads a stream why it breaks off.
func (o *writer) fail(err error) error {
	if !o.exchange.wrote {
		return err
	}
	data, encodeErr := json.Marshal(classifier.BodyOf(err))
	if encodeErr != nil {
		return err
	}
	// The stream is broken off whether this arrives or not.
	_ = o.send([]byte("data: " + string(data) + "\n\n"))
	return err
}
