// Package reporter records the router's metrics and traces.
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

// Reporter records metrics and opens spans. Create it with New.
type Reporter struct {
	// Tracer opens spans; spans of requests that are not sampled cost little.
	Tracer trace.Tracer

	set        *metrics.Set
	propagator propagation.TraceContext
	routes     routeLabels
}

// New returns a reporter whose spans go to tracer.
func New(tracer trace.Tracer) *Reporter {
	return &Reporter{
		Tracer: tracer,
		set:    metrics.NewSet(),
	}
}

// Write writes all metrics in the Prometheus text format.
func (r *Reporter) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Gauge registers a gauge whose value f returns whenever metrics are written.
func (r *Reporter) Gauge(name string, f func() float64) {
	r.set.NewGauge(name, f)
}

// CountResponse counts a response to a caller: as "ok" if it was complete, otherwise by
// its error kind.
func (r *Reporter) CountResponse(kind classifier.Kind) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_answers_total{kind=%q}`, kind)).Inc()
}

// CountConnection counts a new connection to an endpoint.
func (r *Reporter) CountConnection() {
	r.set.GetOrCreateCounter("heatherhold_connections_opened_total").Inc()
}

// CountOutcome counts a finished request of a service by its urgency and its outcome:
// "ok", "late" or an error kind.
func (r *Reporter) CountOutcome(s identifier.Service, urgency int, outcome string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_requests_total{service=%q,order="%d",outcome=%q}`, s, urgency, outcome)).Inc()
}

// CountUnserved counts, by reason, a request that ended before a handler ran.
func (r *Reporter) CountUnserved(reason string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_requests_not_taken_total{reason=%q}`, reason)).Inc()
}

// CountBodyDropped counts, by reason, a request body that was dropped before it was complete.
func (r *Reporter) CountBodyDropped(reason string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_bodies_dropped_total{reason=%q}`, reason)).Inc()
}

// CountConnectionDropped counts, by reason, a caller's connection that was closed because too many
// were open.
func (r *Reporter) CountConnectionDropped(reason string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_connections_dropped_total{reason=%q}`, reason)).Inc()
}

// StreamTimings holds the timings of one stream as its caller saw them.
type StreamTimings struct {
	// Queued is the time spent waiting for chains, FirstEvent the time to the first
	// event, and LongestPause the longest pause between two events.
	Queued       time.Duration
	FirstEvent   time.Duration
	LongestPause time.Duration
}

// RecordStream records the timings of a complete stream.
func (r *Reporter) RecordStream(s identifier.Service, t StreamTimings) {
	r.recordSeconds("heatherhold_queue_seconds", s, t.Queued)
	r.recordSeconds("heatherhold_first_event_seconds", s, t.FirstEvent)
	r.recordSeconds("heatherhold_longest_pause_seconds", s, t.LongestPause)
}

// RecordResponse records how long the response of a plain service took.
func (r *Reporter) RecordResponse(s identifier.Service, d time.Duration) {
	r.recordSeconds("heatherhold_answer_seconds", s, d)
}

// recordSeconds adds a duration to a service's histogram.
func (r *Reporter) recordSeconds(name string, s identifier.Service, d time.Duration) {
	r.set.GetOrCreateHistogram(fmt.Sprintf(`%s{service=%q}`, name, s)).Update(d.Seconds())
}

// CountRetry counts a retry: a request that is sent to a further endpoint.
func (r *Reporter) CountRetry(s identifier.Service) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_repeats_total{service=%q}`, s)).Inc()
}

// CountSharedRetry counts a retry that an entry wanted out of the budget that the owner of a
// service's pool keeps for all instances.
func (r *Reporter) CountSharedRetry(s identifier.Service, granted bool) {
	outcome := "granted"
	if !granted {
		outcome = "refused"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_shared_retries_total{service=%q,outcome=%q}`, s, outcome)).Inc()
}

// CountCrash counts the crash of an endpoint that this instance saw, by what it was charged to.
func (r *Reporter) CountCrash(charged string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_endpoint_crashes_total{charged=%q}`, charged)).Inc()
}

// CountReroute counts a stream that was rerouted to another chain.
func (r *Reporter) CountReroute(s identifier.Service) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_moves_total{service=%q}`, s)).Inc()
}

// MoveStep is a step of the move of a stream to another chain.
type MoveStep string

// The steps of a move, in their order.
const (
	// MoveNotice is the time from the last event until the stream counts as stalled.
	MoveNotice MoveStep = "notice"
	// MoveQuestion is the time until the endpoints that may have failed are known to have.
	MoveQuestion MoveStep = "question"
	// MoveTicket is the time until there is another chain.
	MoveTicket MoveStep = "ticket"
	// MoveOrder is the time until the first stage accepts the order to use it.
	MoveOrder MoveStep = "order"
	// MoveReading is the time until the next event: the new stages read the prompt.
	MoveReading MoveStep = "reading"
)

// RecordMove records how long a step of the move of a service's stream took.
func (r *Reporter) RecordMove(s identifier.Service, step MoveStep, d time.Duration) {
	r.set.GetOrCreateHistogram(fmt.Sprintf(`heatherhold_move_seconds{service=%q,step=%q}`, s, step)).Update(d.Seconds())
}

// CountOutdatedTicket counts a ticket that was given back because the list of endpoints on which
// the pool's owner decided was older than the entry's.
func (r *Reporter) CountOutdatedTicket(s identifier.Service) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_outdated_tickets_total{service=%q}`, s)).Inc()
}

// CountUnknown counts requests on which this instance, as the pool's owner, could not decide.
func (r *Reporter) CountUnknown(s identifier.Service, n int) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_unknown_answers_total{service=%q}`, s)).Add(n)
}

// CountPeerCopy counts a question of this starting instance for another's list of endpoints.
func (r *Reporter) CountPeerCopy(outcome string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_lists_from_peers_total{outcome=%q}`, outcome)).Inc()
}

// RecordStoreCall records a call of the platform's store by its outcome and duration.
func (r *Reporter) RecordStoreCall(name string, d time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_store_calls_total{call=%q,outcome=%q}`, name, outcome)).Inc()
	r.set.GetOrCreateHistogram(fmt.Sprintf(`heatherhold_store_call_seconds{call=%q}`, name)).Update(d.Seconds())
}

// CountRestoration counts a restoration of the platform's store from an older copy.
func (r *Reporter) CountRestoration() {
	r.set.GetOrCreateCounter("heatherhold_store_restorations_total").Inc()
}

// RecordRound records a round of decisions of a pool that this instance owns: the time
// that it took, and the number of requests that wait after it.
func (r *Reporter) RecordRound(s identifier.Service, d time.Duration, waiting int) {
	r.recordSeconds("heatherhold_owner_round_seconds", s, d)
	r.set.GetOrCreateGauge(fmt.Sprintf(`heatherhold_owner_waiting{service=%q}`, s), nil).Set(float64(waiting))
}

// CountRead counts a read of a table of the platform's store by its source: "store", or
// "instance" for another instance's copy.
func (r *Reporter) CountRead(table, source string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_table_reads_total{table=%q,source=%q,outcome=%q}`, table, source, outcome)).Inc()
}

// CountExchange counts an exchange with another instance by its outcome.
func (r *Reporter) CountExchange(err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_exchanges_total{outcome=%q}`, outcome)).Inc()
}

// CountPlacement counts a placement order that an endpoint has accepted.
func (r *Reporter) CountPlacement() {
	r.set.GetOrCreateCounter("heatherhold_placements_total").Inc()
}

// RecordFirstToken records the time to a stream's first token.
func (r *Reporter) RecordFirstToken(rank string, d time.Duration) {
	r.set.GetOrCreateHistogram(fmt.Sprintf(`heatherhold_first_token_seconds{rank=%q}`, rank)).Update(d.Seconds())
}

// CountTokens counts a stream's tokens and its resumptions: one for each chain that
// it used after the first.
func (r *Reporter) CountTokens(rank string, result streamer.Result) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_tokens_total{rank=%q}`, rank)).Add(int(result.Tokens))
	if result.Attempts > 1 {
		r.set.GetOrCreateCounter("heatherhold_resumes_total").Add(result.Attempts - 1)
	}
}

// Span is a span that has not ended.
type Span struct {
	span trace.Span
}

// TraceID returns the trace ID.
func (s Span) TraceID() string {
	return s.span.SpanContext().TraceID().String()
}

// End ends the span. An error that is not nil is recorded as the span's status.
func (s Span) End(err error) {
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// StartRequest opens the span of a caller's request, as a child of the span that the
// caller's traceparent header names.
func (r *Reporter) StartRequest(request *http.Request, id identifier.Request) (context.Context, Span) {
	ctx := r.propagator.Extract(request.Context(), propagation.HeaderCarrier(request.Header))
	ctx, span := r.Tracer.Start(ctx, "caller "+request.Method, trace.WithAttributes(
		attribute.String("request", string(id)),
		attribute.String("path", request.URL.Path),
	))
	return ctx, Span{span: span}
}

// Inject adds the traceparent header of ctx to the headers of a call.
func (r *Reporter) Inject(ctx context.Context, h http.Header) {
	r.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// StartQueue opens a span for the wait for a ticket and returns the function that ends
// the span.
func (r *Reporter) StartQueue(ctx context.Context) func(error) {
	_, span := r.Tracer.Start(ctx, "queue")
	return Span{span: span}.End
}

// StartAttempt opens a span for one attempt and one for each stage of its chain. The
// returned function ends them.
func (r *Reporter) StartAttempt(ctx context.Context, chain []identifier.Stage) (context.Context, func(error)) {
	ctx, span := r.Tracer.Start(ctx, "attempt")
	if !span.IsRecording() {
		return ctx, func(error) { span.End() }
	}
	stages := make([]trace.Span, 0, len(chain))
	for _, s := range chain {
		_, stage := r.Tracer.Start(ctx, "stage", trace.WithAttributes(
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

// RecordLateToken counts a gap between tokens that exceeded its target, and records a span
// with the duration of the gap.
func (r *Reporter) RecordLateToken(ctx context.Context, index int64, gap time.Duration) {
	r.set.GetOrCreateCounter("heatherhold_late_tokens_total").Inc()
	if !trace.SpanFromContext(ctx).IsRecording() {
		return
	}
	_, span := r.Tracer.Start(ctx, "late token",
		trace.WithTimestamp(time.Now().Add(-gap)),
		trace.WithAttributes(attribute.Int64("index", index)))
	span.End()
}
