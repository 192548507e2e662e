package proxier

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/courier"
	"heatherhold.dev/router/exchanger"
	"heatherhold.dev/router/quarantiner"
	"heatherhold.dev/router/reporter"
)

// eventStreamType is the media type of a series of events.
const eventStreamType = "text/event-stream"

// isStream reports whether a response is a series of events, which is passed on as it arrives: the
// route says that responses are, and the response states no other media type.
func (p *plainRequest) isStream(response *exchanger.Response) bool {
	if !p.job.Route.Streams || response.Status != http.StatusOK || p.job.Request.Method == http.MethodHead {
		return false
	}
	contentType := response.Header.Get("Content-Type")
	return contentType == "" || mediaType(contentType) == eventStreamType
}

// forward passes the events of a run on to the caller as they arrive.
func (p *plainRequest) forward(response *exchanger.Response, info courier.ResponseMetadata, run *plainRun) (*completeResponse, error) {
	if !p.started {
		p.writeHeader(p.proxier.Codec, response)
	}
	run.streamed = true
	p.gapsAllowed = p.gaps || !p.resumed()
	if err := p.forwardEvents(response, info.IdleTimeout, &plainObserver{request: p, run: run}); err != nil {
		return nil, err
	}
	return &completeResponse{
		status: response.Status,
		header: response.Header,
		body:   &body{proxier: p.proxier},
		info:   info,
	}, nil
}

// plainObserver records the progress of a run.
type plainObserver struct {
	request *plainRequest
	run     *plainRun
}

// eventRead records nothing.
func (*plainObserver) eventRead(time.Time, error) {}

// eventNumbered records that the run has made progress. The request is answered once the run is
// proven.
func (o *plainObserver) eventNumbered(now time.Time) {
	if o.run.proving.progress(now) {
		o.request.proxier.Quarantiner.RecordAnswer(now, o.request.keys)
	}
}

// eventForwarded records that the caller has got an event of the run.
func (o *plainObserver) eventForwarded() {
	o.run.finding.progress = answerEvents
}

// resumed reports whether the caller has received events.
func (p *plainRequest) resumed() bool {
	return p.lastEvent.Load() > p.job.Request.LastEvent
}

// resumeAfter returns the event after which the next run is to go on; 0 if the request is no stream.
func (p *plainRequest) resumeAfter() int64 {
	if !p.job.Route.Streams {
		return 0
	}
	return p.lastEvent.Load()
}

// admissionKeys returns the keys under which the next run is admitted. Like that of a model service, a
// stream that has forwarded events goes on without a verdict after one crash.
func (p *plainRequest) admissionKeys() []quarantiner.Key {
	if p.resumed() && p.crashes <= 1 && !p.suspect {
		return nil
	}
	return p.keys
}

// awaitRetry waits until the retry budget allows another run, and reports whether it does before ctx
// ends.
func (p *plainRequest) awaitRetry(ctx context.Context) bool {
	return awaitRetry(ctx, func() bool { return p.proxier.spendRetry(p.job.Service) })
}

// logStreamServed logs a stream that was delivered completely.
func (p *plainRequest) logStreamServed(r *plainRun) {
	route := p.job.Route
	outcome := p.outcome(route)
	log := p.proxier.log(p.job).WithFields(p.proxier.recordEnd(&p.job, outcome)).WithFields(logrus.Fields{
		"endpoint":   r.endpoint.Endpoint,
		"status":     p.status,
		"ended-by":   p.framing,
		"tries":      len(p.avoid),
		"events":     p.forwarded,
		"first-ms":   p.timing.firstEvent.Milliseconds(),
		"longest-ms": p.timing.longestPause.Milliseconds(),
	})
	p.proxier.Reporter.RecordStream(p.job.Service, reporter.StreamTimings{
		FirstEvent:   p.timing.firstEvent,
		LongestPause: p.timing.longestPause,
	})
	if outcome != reporter.OnTime {
		p.late = true
		log.WithField("target-ms", route.Target.Milliseconds()).WithField("longest-pause-ms", route.Gap.Milliseconds()).Warn("request served late")
		return
	}
	log.Info("request served")
}
