package administrator

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/authenticator"
	"heatherhold.dev/router/quarantiner"
)

// Quarantine serves operators' requests about what crashes endpoints. Set
// the exported fields before Register.
type Quarantine struct {
	Quarantiner *quarantiner.Quarantiner
	// KeySHA256 is the hash of the operators' key. Without one every request is refused.
	KeySHA256 string
	Log       logrus.FieldLogger
}

// Register adds the paths of the interface to r.
func (a *Quarantine) Register(r *mux.Router) {
	r.HandleFunc("/v1/quarantine", a.serve(a.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/quarantine/releases", a.serve(a.release)).Methods(http.MethodPost)
}

func (a *Quarantine) serve(h func(w http.ResponseWriter, r *http.Request) (any, error)) http.HandlerFunc {
	index := authenticator.New(nil, a.KeySHA256)
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit)
		if _, err := index.Operator(r); err != nil {
			classifier.Write(w, err)
			return
		}
		response, err := h(w, r)
		if err != nil {
			a.Log.WithError(err).Info("operator's request failed")
			classifier.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error here means that the connection to the operator is lost.
		_ = json.NewEncoder(w).Encode(response)
	}
}

// list returns the suspected and condemned parts and requests, those with the most crashes
// first.
func (a *Quarantine) list(http.ResponseWriter, *http.Request) (any, error) {
	now := time.Now()
	verdicts := a.Quarantiner.Verdicts(now)
	out := messenger.QuarantineList{Parts: []messenger.QuarantinedPart{}}
	for _, key := range slices.SortedFunc(maps.Keys(verdicts), quarantiner.CompareKeys) {
		v := verdicts[key]
		out.Parts = append(out.Parts, messenger.QuarantinedPart{
			Part:        key.String(),
			Condemned:   v.Condemned,
			Crashes:     v.Crashes,
			LastCrashMs: now.Sub(v.LastCrash).Milliseconds(),
			TestInMs:    max(v.TestAt.Sub(now).Milliseconds(), 0),
		})
	}
	slices.SortStableFunc(out.Parts, func(a, b messenger.QuarantinedPart) int { return cmp.Compare(b.Crashes, a.Crashes) })
	return out, nil
}

func (a *Quarantine) release(_ http.ResponseWriter, r *http.Request) (any, error) {
	var release messenger.PartRelease
	if err := json.NewDecoder(r.Body).Decode(&release); err != nil || release.Part == "" {
		return nil, classifier.New(classifier.BadRequest, "want a JSON object with the part to release")
	}
	if !a.Quarantiner.Release(time.Now(), quarantiner.ParseKey(release.Part)) {
		return nil, classifier.New(classifier.NotFound, "no endpoint is known to have crashed under this part")
	}
	a.Log.WithField("part", release.Part).Warn("part of prompts released by an operator")
	return release, nil
}
