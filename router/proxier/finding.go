package proxier

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
)

// answerProgress is how far the answer of a run had got when the run ended.
type answerProgress string

// The stages of an answer.
const (
	answerNone   answerProgress = "none"
	answerHeader answerProgress = "header"
	answerEvents answerProgress = "events"
)

// endpointState is what the endpoints of a run were found to be after it.
type endpointState string

// The states of the endpoints. endpointsNotAsked is that after a run that says nothing of them, and
// endpointSilent that of one that answers nothing but takes connections, or may.
const (
	endpointsNotAsked endpointState = "not-asked"
	endpointsAlive    endpointState = "alive"
	endpointSilent    endpointState = "silent"
	endpointEnded     endpointState = "ended"
)

// endpointStateOf returns the state of endpoints that were asked.
func endpointStateOf(ended bool) endpointState {
	if ended {
		return endpointEnded
	}
	return endpointsAlive
}

// charge is what the crash of an endpoint was recorded under.
type charge string

// What may be charged with a crash, the strongest last. chargeLater is that of a run whose
// endpoint is looked at again.
const (
	chargeNothing charge = "nothing"
	chargeLater   charge = "later"
	chargeParts   charge = "parts"
	chargeRequest charge = "request"
)

// finding is what the end of a run showed. It is logged, so that a crash that was charged to
// nothing can be told from a run under which no endpoint crashed.
type finding struct {
	progress answerProgress
	state    endpointState
	charge   charge
}

// crashed reports whether an endpoint crashed under the run, and the request or a part of its
// prompt may be the cause.
func (f finding) crashed() bool {
	return f.charge == chargeRequest || f.charge == chargeParts
}

// logFields returns the fields of a log line about the run.
func (f finding) logFields() logrus.Fields {
	return logrus.Fields{
		"progress":       f.progress,
		"endpoint-state": f.state,
		"charged":        f.charge,
	}
}

// progress returns how far the attempt's answer has got.
func (a *attempt) progress() answerProgress {
	switch {
	case a.progressed.Load():
		return answerEvents
	case a.answering.Load():
		return answerHeader
	}
	return answerNone
}

// tallyDelay is how long after it was first seen the crash of an endpoint is counted: by then
// each of the runs that it ended has been charged or not.
const tallyDelay = 2 * time.Second

// crashTally collects what the crashes that this instance saw were charged to.
type crashTally struct {
	mu      sync.Mutex
	crashes map[identifier.EndpointIncarnation]tallied
}

// tallied is one crash.
type tallied struct {
	seenAt time.Time
	charge charge
}

// add adds that a crash was charged to something. The strongest charge counts.
func (t *crashTally) add(now time.Time, incarnation identifier.EndpointIncarnation, c charge) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashes == nil {
		t.crashes = make(map[identifier.EndpointIncarnation]tallied)
	}
	old, ok := t.crashes[incarnation]
	if !ok {
		old = tallied{
			seenAt: now,
			charge: chargeNothing,
		}
	}
	if c == chargeRequest || old.charge == chargeNothing {
		old.charge = c
	}
	t.crashes[incarnation] = old
}

// takeDue removes the crashes that are to be counted, and returns what each was charged to.
func (t *crashTally) takeDue(now time.Time) []charge {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []charge
	for incarnation, c := range t.crashes {
		if now.Sub(c.seenAt) >= tallyDelay {
			due = append(due, c.charge)
			delete(t.crashes, incarnation)
		}
	}
	return due
}
