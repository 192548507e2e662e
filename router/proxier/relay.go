package proxier

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/reporter"
)

const (
	// noProgressLimit limits the bytes received without a new event. A run that
	// starts again from the first event repeats fewer bytes.
	noProgressLimit = 1 << 20
	// pendingLimit limits how many of these bytes are buffered as events without an
	// id.
	pendingLimit = 64 << 10
)

// errNoProgress reports a stream that sends data but no new events.
var errNoProgress = errors.New("the stream sent too many bytes without a new event")

// errNoEvents reports a response that ended with its connection before a new event.
var errNoEvents = errors.New("the connection ended before a new event")

// errCallerWrite reports that writing to the caller failed.
var errCallerWrite = errors.New("write to the caller failed")

// relay passes the events of the runs of one stream on to its caller: each complete, once and in
// order.
type relay struct {
	w       http.ResponseWriter
	started bool
	// status is the HTTP status sent to the caller, once started.
	status int
	// contentType is the one that was sent to the caller.
	contentType string
	// lastEvent is the id of the last event that the caller received.
	lastEvent atomic.Int64
	// forwarded counts the events that were forwarded.
	forwarded int64
	timing    timing
	// framing is that of the last response.
	framing exchanger.Framing
	// gapsAllowed is set if the ids of events may leave numbers out, and gaps once they have.
	gapsAllowed, gaps bool
}

// begin sets the caller's response writer and the last event that the caller already has.
func (r *relay) begin(w http.ResponseWriter, lastEvent int64) {
	r.w = w
	r.lastEvent.Store(lastEvent)
	r.timing.startedAt = time.Now()
}

// eventObserver is told of the events of one run. The goroutine that forwards them calls it.
type eventObserver interface {
	// eventRead is called after each read, with io.EOF at the end of the stream.
	eventRead(now time.Time, err error)
	// eventNumbered is called for each event that has an id.
	eventNumbered(now time.Time)
	// eventForwarded is called for each event that the caller has got.
	eventForwarded()
}

// writeHeader writes the status and the header of the response to the caller.
func (r *relay) writeHeader(codec Codec, response *exchanger.Response) {
	r.started = true
	r.status = response.Status
	r.contentType = response.Header.Get("Content-Type")
	h := r.w.Header()
	for name, values := range codec.ResponseHeader(response.Header) {
		h[name] = values
	}
	r.w.WriteHeader(response.Status)
}

// continues reports whether a response can continue the stream that the caller receives:
// one that states another media type cannot.
func (r *relay) continues(response *exchanger.Response) bool {
	next := response.Header.Get("Content-Type")
	return next == "" || r.contentType == "" || mediaType(next) == mediaType(r.contentType)
}

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// forwardEvents forwards the events of a response until it ends, and then ends the exchange; idle is
// the endpoint's idle timeout. It returns exchanger.ErrLost if the endpoint broke the stream off.
func (r *relay) forwardEvents(response *exchanger.Response, idle time.Duration, o eventObserver) error {
	r.framing = response.Framing
	out := http.NewResponseController(r.w)
	events := &splitter{reader: bufio.NewReader(response)}
	var run unforwarded
	for {
		e, err := events.next()
		now := time.Now()
		o.eventRead(now, err)
		if errors.Is(err, io.EOF) && response.Framing == exchanger.ByConnection && !run.progressed {
			err = errNoEvents
		}
		if errors.Is(err, io.EOF) {
			response.Close(idle)
			return r.writeEvents(out, run.pending)
		}
		if err == nil {
			err = run.add(e)
		}
		if err != nil {
			response.Discard()
			return errors.Wrap(exchanger.ErrLost, err.Error())
		}
		if e.id == 0 {
			continue
		}
		o.eventNumbered(now)
		if err := r.forwardEvent(out, &run, e, o); err != nil {
			response.Discard()
			return err
		}
	}
}

// unforwarded holds what a run has sent since its last event that was forwarded.
type unforwarded struct {
	// pending holds the events without an id since the last event with one.
	pending []byte
	// bytes is the number of bytes received.
	bytes int
	// progressed is set once an event was forwarded.
	progressed bool
}

// add counts the bytes of an event. It buffers an event without an id until the next event
// with one, or the end of the stream, confirms that it belongs to a valid stream.
func (u *unforwarded) add(e event) error {
	u.bytes += len(e.bytes)
	if e.id == 0 {
		u.pending = append(u.pending, e.bytes...)
	}
	if u.bytes > noProgressLimit || len(u.pending) > pendingLimit {
		return errNoProgress
	}
	return nil
}

// forwardEvent forwards an event that has an id, unless the caller already
// received it.
func (r *relay) forwardEvent(out *http.ResponseController, run *unforwarded, e event, o eventObserver) error {
	last := r.lastEvent.Load()
	if e.id > last+1 && !r.gapsAllowed {
		return errors.Errorf("event %d follows event %d", e.id, last)
	}
	r.gaps = r.gaps || e.id > last+1
	data := append(run.pending, e.bytes...)
	run.pending = data[:0]
	if e.id <= last {
		return nil
	}
	if err := r.writeEvents(out, data); err != nil {
		return err
	}
	run.bytes = 0
	run.progressed = true
	r.lastEvent.Store(e.id)
	r.forwarded++
	r.timing.recordEvent(time.Now())
	o.eventForwarded()
	return nil
}

// writeEvents writes complete events to the caller.
func (r *relay) writeEvents(out *http.ResponseController, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := r.w.Write(events); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// outcome returns the outcome of a stream that was delivered completely. A target or pause of
// 0 is not required of the stream.
func (r *relay) outcome(route *cataloguer.Route) reporter.Outcome {
	switch {
	case route.Target > 0 && r.timing.firstEvent > route.Target:
		return reporter.LateStart
	case route.Gap > 0 && r.timing.longestPause > route.Gap:
		return reporter.LatePause
	}
	return reporter.OnTime
}
