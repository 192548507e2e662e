// Package administrator implements the operators' HTTP interface: it returns and
// changes the configuration, waits for a change to be accepted, drains endpoints
// and reports the instance's status.
package administrator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/controller"
	"heatherhold.dev/router/granter"
	"heatherhold.dev/router/publisher"
)

const (
	bodyLimit = 16 << 20 // bytes
	// maxWait limits how long one request waits for acceptance.
	maxWait = 30 * time.Second
)

// Administrator serves operators' requests. Set the exported fields before calling
// Handler.
type Administrator struct {
	Instance   identifier.Instance
	Controller *controller.Controller
	Granter    *granter.Granter
	Publisher  *publisher.Publisher
	// Bootstrap is the hash of the operator key in the settings, or empty.
	Bootstrap string
	Log       logrus.FieldLogger
}

// handler handles one operator's request and returns the value that is sent as
// JSON.
type handler func(w http.ResponseWriter, r *http.Request, operator string) (any, error)

// Handler returns the handler of all paths of the interface.
func (a *Administrator) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/configuration", a.serve(a.configuration)).Methods(http.MethodGet)
	r.HandleFunc("/v1/configuration", a.serve(a.change)).Methods(http.MethodPost)
	r.HandleFunc("/v1/acceptance", a.serve(a.acceptance)).Methods(http.MethodGet)
	r.HandleFunc("/v1/drains", a.serve(a.drain)).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", a.serve(a.status)).Methods(http.MethodGet)
	return r
}

// serve wraps h: it limits the body, identifies the operator and sends the response
// or the error.
func (a *Administrator) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit)
		operator, err := a.index().Operator(r)
		if err != nil {
			classifier.Write(w, err)
			return
		}
		response, err := h(w, r, operator)
		if err != nil {
			a.fail(w, operator, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the connection to the operator is lost.
		_ = json.NewEncoder(w).Encode(response)
	}
}

// fail logs the error of an operator's request and sends the error response.
func (a *Administrator) fail(w http.ResponseWriter, operator string, err error) {
	a.Log.WithError(err).WithField("operator", operator).Info("operator's request failed")
	var conflict *controller.ConflictError
	if errors.As(err, &conflict) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(messenger.ChangeRefused{
			Error:     string(classifier.Conflict),
			Detail:    conflict.Error(),
			Latest:    uint64(conflict.Latest),
			Conflicts: conflictsOf(conflict.Conflicts),
		})
		return
	}
	classifier.Write(w, err)
}

func conflictsOf(conflicts []controller.Conflict) []messenger.SectionConflict {
	out := make([]messenger.SectionConflict, 0, len(conflicts))
	for _, c := range conflicts {
		out = append(out, messenger.SectionConflict{
			Key:    string(c.Key),
			Theirs: c.Theirs,
			Yours:  c.Yours,
		})
	}
	return out
}

func (a *Administrator) configuration(_ http.ResponseWriter, r *http.Request, _ string) (any, error) {
	revision, document, err := a.Controller.Configuration(r.Context())
	if err != nil {
		return nil, err
	}
	entries := make(map[string]string, len(document))
	for k, v := range document {
		entries[string(k)] = string(v)
	}
	return messenger.Configuration{
		Revision: uint64(revision),
		Entries:  entries,
	}, nil
}

func (a *Administrator) change(_ http.ResponseWriter, r *http.Request, operator string) (any, error) {
	var m messenger.ConfigurationChange
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return nil, classifier.New(classifier.BadRequest, "malformed JSON in the request body: "+err.Error())
	}
	if m.ID == "" || len(m.Entries) == 0 {
		return nil, classifier.New(classifier.BadRequest, "the change needs an id and at least one entry")
	}
	change := make(declarer.Change, len(m.Entries))
	for k, v := range m.Entries {
		change[declarer.Key(k)] = []byte(v)
	}
	revision, err := a.Controller.Change(r.Context(), identifier.Revision(m.Base), m.ID, change)
	if err != nil {
		return nil, err
	}
	a.Log.WithField("operator", operator).WithField("revision", revision).WithField("sections", len(change)).Info("change committed")
	return messenger.ConfigurationCommitted{Revision: uint64(revision)}, nil
}

func (a *Administrator) acceptance(_ http.ResponseWriter, r *http.Request, _ string) (any, error) {
	var q messenger.AcceptanceQuery
	if err := q.Read(r.URL.Query()); err != nil {
		return nil, classifier.New(classifier.BadRequest, err.Error())
	}
	wait := min(q.Wait, maxWait)
	accepted, waiting, err := a.Controller.Acceptance(r.Context(), identifier.Revision(q.Revision), wait)
	if err != nil {
		return nil, err
	}
	response := messenger.Acceptance{
		Revision: q.Revision,
		Accepted: accepted,
	}
	for _, instance := range waiting {
		response.Waiting = append(response.Waiting, messenger.AcceptanceWaiting{
			Instance: string(instance.Instance),
			Site:     string(instance.Site),
		})
	}
	return response, nil
}

func (a *Administrator) drain(_ http.ResponseWriter, r *http.Request, operator string) (any, error) {
	var m messenger.Drain
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return nil, classifier.New(classifier.BadRequest, "malformed JSON in the request body: "+err.Error())
	}
	incarnations, stored, err := a.Controller.Drain(r.Context(), identifier.Endpoint(m.Endpoint))
	if err != nil {
		return nil, err
	}
	a.Log.WithField("operator", operator).WithField("endpoint", m.Endpoint).Info("endpoint drained")
	response := messenger.Drained{Stored: stored}
	for _, incarnation := range incarnations {
		response.Incarnations = append(response.Incarnations, incarnation.String())
	}
	return response, nil
}

func (a *Administrator) status(_ http.ResponseWriter, r *http.Request, _ string) (any, error) {
	members, err := a.Controller.Members(r.Context())
	if err != nil {
		return nil, err
	}
	loads, err := a.Granter.Loads(r.Context())
	if err != nil {
		return nil, err
	}
	v := a.Publisher.View()
	s := messenger.Status{
		Instance:  string(a.Instance),
		Revision:  uint64(v.Revision),
		Confirmed: a.Publisher.Confirmed(time.Now()),
		Stopping:  a.Publisher.Stopping(),
	}
	for _, i := range v.Live {
		s.Live = append(s.Live, string(i))
	}
	for _, m := range members {
		s.Members = append(s.Members, messenger.StatusMember{
			Instance: m.GetInstance(),
			Site:     m.GetSite(),
			Leaving:  m.GetLeaving(),
		})
	}
	s.Endpoints = endpointsOf(v)
	s.Pools = poolsOf(loads)
	return s, nil
}

// index returns the index of the operators that are known now.
func (a *Administrator) index() operatorIndex {
	return operatorIndex{
		declared:  a.Publisher.View().Index,
		bootstrap: a.Bootstrap,
	}
}
