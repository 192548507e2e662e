// Package reporter keeps the router's metrics and traces.
package reporter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/streamer"
)

// Reporter counts and traces. Make it with New.
type Reporter struct {
	// Tracer opens spans; spans of requests that are not sampled cost little.
	Tracer trace.Tracer

	set        *metrics.Set
	propagator propagation.TraceContext
}

// New returns a reporter whose spans go to tracer.
func New(tracer trace.Tracer) *Reporter {
	return &Reporter{
		Tracer: tracer,
		set:    metrics.NewSet(),
	}
}

// Write writes all metrics in the Prometheus text format.
func (p *Reporter) Write(w io.Writer) {
	p.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Gauge registers a value that is read when metrics are written.
func (p *Reporter) Gauge(name string, f func() float64) {
	p.set.NewGauge(name, f)
}

// Answered counts an answer by its kind, "ok" if it was whole.
func (p *Reporter) Answered(kind classifier.Kind) {
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_answers_total{kind=%q}`, kind)).Inc()
}

// Opened counts a new connection to an endpoint.
func (p *Reporter) Opened() {
	p.set.GetOrCreateCounter("heatherhold_connections_opened_total").Inc()
}

// Ended counts a request of a service by its urgency and its outcome: "ok",
// "late" or an error kind.
func (p *Reporter) Ended(s identifier.Service, order int, outcome string) {
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_requests_total{service=%q,order="%d",outcome=%q}`, s, order, outcome)).Inc()
}

// NotTaken counts a request that ended before a handler ran, by the reason.
func (p *Reporter) NotTaken(reason string) {
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_requests_not_taken_total{reason=%q}`, reason)).Inc()
}

// Stream is what the caller of one stream saw.
type Stream struct {
	// Queued is the time spent waiting for chains, First the time to the first
	// event, and Longest the longest pause between two.
	Queued  time.Duration
	First   time.Duration
	Longest time.Duration
}

// Timed notes a stream that was whole.
func (p *Reporter) Timed(s identifier.Service, t Stream) {
	p.seconds("heatherhold_queue_seconds", s, t.Queued)
	p.seconds("heatherhold_first_event_seconds", s, t.First)
	p.seconds("heatherhold_longest_pause_seconds", s, t.Longest)
}

// Answer notes how long a plain service's answer took.
func (p *Reporter) Answer(s identifier.Service, d time.Duration) {
	p.seconds("heatherhold_answer_seconds", s, d)
}

func (p *Reporter) seconds(name string, s identifier.Service, d time.Duration) {
	p.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, name, s)).Update(d.Seconds())
}

// Repeated counts what was sent to a further endpoint.
func (p *Reporter) Repeated(s identifier.Service) {
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_repeats_total{service=%q}`, s)).Inc()
}

// Moved counts a stream that was moved to another chain.
func (p *Reporter) Moved(s identifier.Service) {
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_moves_total{service=%q}`, s)).Inc()
}

// StoreCall notes a call of the platform's store.
func (p *Reporter) StoreCall(name string, d time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_store_calls_total{call=%q,outcome=%q}`, name, outcome)).Inc()
	p.set.GetOrCreateHistogram(fmt.Sprintf(`heatherhold_store_call_seconds{call=%q}`, name)).Update(d.Seconds())
}

// Exchanged counts an exchange with another instance.
func (p *Reporter) Exchanged(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_exchanges_total{outcome=%q}`, outcome)).Inc()
}

// Placed counts a placement order that an endpoint has taken.
func (p *Reporter) Placed() {
	p.set.GetOrCreateCounter("heatherhold_placements_total").Inc()
}

// FirstToken notes the time to a first token.
func (p *Reporter) FirstToken(rank string, d time.Duration) {
	p.set.GetOrCreateHistogram(fmt.Sprintf(`heatherhold_first_token_seconds{rank=%q}`, rank)).Update(d.Seconds())
}

// Streamed counts a stream's tokens and the chains that it took.
func (p *Reporter) Streamed(rank string, r streamer.Result) {
	p.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_tokens_total{rank=%q}`, rank)).Add(int(r.Tokens))
	if r.Attempts > 1 {
		p.set.GetOrCreateCounter("heatherhold_resumes_total").Add(r.Attempts - 1)
	}
}

// Span is an open span.
type Span struct {
	span trace.Span
}

// Trace returns the trace's id.
func (s Span) Trace() string {
	return s.span.SpanContext().TraceID().String()
}

// End closes the span with its outcome.
func (s Span) End(err error) {
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Request opens the span of a caller's request, under the caller's traceparent.
func (p *Reporter) Request(r *http.Request, id identifier.Request) (context.Context, Span) {
	ctx := p.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := p.Tracer.Start(ctx, "caller "+r.Method, trace.WithAttributes(
		attribute.String("request", string(id)),
		attribute.String("path", r.URL.Path),
	))
	return ctx, Span{span: span}
}

// Inject adds the traceparent to the headers of a call.
func (p *Reporter) Inject(ctx context.Context, h http.Header) {
	p.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Queue opens the span of the wait for a ticket.
func (p *Reporter) Queue(ctx context.Context) func(error) {
	_, span := p.Tracer.Start(ctx, "queue")
	return Span{span: span}.End
}

// Attempt opens a span for one attempt and one for each stage of its chain.
func (p *Reporter) Attempt(ctx context.Context, chain []identifier.Stage) (context.Context, func(error)) {
	ctx, span := p.Tracer.Start(ctx, "attempt")
	if !span.IsRecording() {
		return ctx, func(error) { span.End() }
	}
	stages := make([]trace.Span, 0, len(chain))
	for _, s := range chain {
		_, stage := p.Tracer.Start(ctx, "stage", trace.WithAttributes(
			attribute.String("endpoint", s.String()),
			attribute.Int("from", int(s.From)),
			attribute.Int("to", int(s.To)),
			attribute.String("version", string(s.Version)),
		))
		stages = append(stages, stage)
	}
	return ctx, func(err error) {
		for _, stage := range stages {
			stage.End()
		}
		Span{span: span}.End(err)
	}
}

// Late counts a gap between tokens that missed its target, and leaves a span
// that is as long as the gap.
func (p *Reporter) Late(ctx context.Context, index int64, gap time.Duration) {
	p.set.GetOrCreateCounter("heatherhold_late_tokens_total").Inc()
	if !trace.SpanFromContext(ctx).IsRecording() {
		return
	}
	_, span := p.Tracer.Start(ctx, "late token",
		trace.WithTimestamp(time.Now().Add(-gap)),
		trace.WithAttributes(attribute.Int64("index", index)))
	span.End()
}
