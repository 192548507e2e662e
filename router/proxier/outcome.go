package proxier

import (
	"github.com/sirupsen/logrus"

	"heatherhold.dev/router/reporter"
)

// NoOrder is the order of a job whose route is not known.
const NoOrder = -1

// LogFields returns the fields that tell which callers a log line about the job concerns.
// They are empty, and the order is NoOrder, as far as they are not known.
func (j *Job) LogFields() logrus.Fields {
	return logrus.Fields{
		"route":    j.routeName(),
		"service":  j.Service,
		"customer": j.Customer,
		"order":    j.Order,
		"size":     j.size(),
	}
}

// routeName returns the name of the job's route; empty if the route is not known.
func (j *Job) routeName() string {
	if j.Route == nil {
		return ""
	}
	return j.Route.Name
}

// size returns the size of the job's request.
func (j *Job) size() reporter.Size {
	return reporter.SizeOf(j.Request.Prompt, j.Request.Output, j.Engine)
}

// End returns the end of the job with the given outcome.
func (j *Job) End(outcome reporter.Outcome) reporter.End {
	return reporter.End{
		Service: j.Service,
		Order:   j.Order,
		Route:   j.routeName(),
		Size:    j.size(),
		Outcome: outcome,
	}
}

// recordEnd counts the outcome of a job that has ended and returns the log field that states
// it. Exactly one log line of each request must have that field.
func (x *Proxier) recordEnd(j *Job, outcome reporter.Outcome) logrus.Fields {
	x.Reporter.CountEnd(j.End(outcome))
	return logrus.Fields{"outcome": outcome}
}
