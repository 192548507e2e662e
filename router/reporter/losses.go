package reporter

import (
	"fmt"
	"strconv"
	"sync"

	"heatherhold.dev/core/cataloguer"
	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
)

// Outcome is how a request ended from its caller's point of view, in kebab case; the list
// is closed.
type Outcome string

// The outcomes. LateStart, LatePause, Refused and Failed are losses.
const (
	OnTime Outcome = "on-time"
	// LateStart is a complete answer whose first event, or for plain services whose
	// end, came after the route's target. LatePause is one that started on time and
	// had a pause longer than the route allows.
	LateStart Outcome = "late-start"
	LatePause Outcome = "late-pause"
	// Refused requests have not run. Failed ones may have run.
	Refused Outcome = "refused"
	Failed  Outcome = "failed"
	// Cancelled requests were ended by their callers.
	Cancelled Outcome = "cancelled"
)

// OutcomeOf returns the outcome of a request that gets an error response of kind k and
// no part of another response.
func OutcomeOf(k classifier.Kind) Outcome {
	switch {
	case k == classifier.Cancelled:
		return Cancelled
	case classifier.ResponseOf(k).Ran == classifier.RanNo:
		return Refused
	}
	return Failed
}

// isLoss reports whether the outcome is a loss for the caller.
func (o Outcome) isLoss() bool {
	return o != OnTime && o != Cancelled
}

// Size classifies the work of a request in relation to its service's usual request.
type Size string

// The sizes. SizeNone is for requests whose service has no usual size, such as all
// plain services.
const (
	SizeNone  Size = "none"
	SizeSmall Size = "small"
	SizeUsual Size = "usual"
	SizeLarge Size = "large"
)

const (
	// outputWeight is how many prompt tokens count as much as one output token: a
	// step for one output token costs several times the reading of a prompt token.
	outputWeight = 10
	// sizeFactor is the factor on the usual size above which a request is large,
	// and its inverse the one below which a request is small.
	sizeFactor = 2
)

// SizeOf returns the size of a request to a service with engine e, which is nil for plain
// services.
func SizeOf(prompt, output identifier.Tokens, e *cataloguer.Engine) Size {
	if e == nil {
		return SizeNone
	}
	work, usual := workOf(prompt, output), workOf(e.UsualPrompt, e.UsualOutput)
	switch {
	case usual <= 0:
		return SizeNone
	case work*sizeFactor < usual:
		return SizeSmall
	case work > usual*sizeFactor:
		return SizeLarge
	}
	return SizeUsual
}

// workOf returns the work of a request in prompt tokens. It is a float because the product
// of a count that a caller sends may exceed an integer.
func workOf(prompt, output identifier.Tokens) float64 {
	return float64(prompt) + outputWeight*float64(output)
}

// End is the end of one request.
type End struct {
	// Service and Order are known only if Route, the route's name, is not empty.
	Service identifier.Service
	Order   int
	Route   string
	Size    Size
	Outcome Outcome
}

const (
	// noRoute is the value of the labels service, order and route for a request
	// whose route is not known.
	noRoute = "none"
	// otherRoute is the label of all routes after the first maxRoutes.
	otherRoute = "other"
	// maxRoutes limits the routes that have a label of their own, because each one
	// has a time series for every combination of the other labels.
	maxRoutes = 64
)

// CountEnd counts the end of a request if it is a loss.
func (r *Reporter) CountEnd(e End) {
	if !e.Outcome.isLoss() {
		return
	}
	service, order, route := noRoute, noRoute, noRoute
	if e.Route != "" {
		service, order, route = string(e.Service), strconv.Itoa(e.Order), r.routes.label(e.Route)
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`heatherhold_losses_total{service=%q,order=%q,route=%q,size=%q,outcome=%q}`,
		service, order, route, e.Size, e.Outcome)).Inc()
}

// routeLabels holds the routes that have a label of their own: the first maxRoutes that had
// losses. The zero value has none.
type routeLabels struct {
	mu    sync.Mutex
	named map[string]bool
}

// label returns the label of a route.
func (l *routeLabels) label(route string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named[route] {
		return route
	}
	if len(l.named) >= maxRoutes {
		return otherRoute
	}
	if l.named == nil {
		l.named = make(map[string]bool)
	}
	l.named[route] = true
	return route
}
