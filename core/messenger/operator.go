package messenger

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// The JSON messages between the operators' command line and a router.

// Configuration holds the declarations in force: TOML sections by their key.
type Configuration struct {
	Revision uint64            `json:"revision"`
	Entries  map[string]string `json:"entries"`
}

// ConfigurationChange sets sections on top of a base revision; a section that is
// set to an empty value is deleted.
type ConfigurationChange struct {
	Base    uint64            `json:"base"`
	ID      string            `json:"id"`
	Entries map[string]string `json:"entries"`
}

// ConfigurationCommitted reports that the change is stored in the table.
type ConfigurationCommitted struct {
	Revision uint64 `json:"revision"`
}

// ChangeRefused is the response to a change whose base is no longer the latest revision.
type ChangeRefused struct {
	Error     string            `json:"error"`
	Detail    string            `json:"detail"`
	Latest    uint64            `json:"latest"`
	Conflicts []SectionConflict `json:"conflicts"`
}

// SectionConflict is one section that is set both by a change committed after the
// base revision (Theirs) and by the refused change (Yours).
type SectionConflict struct {
	Key    string `json:"key"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
}

// AcceptanceQuery asks whether a revision is in force everywhere.
type AcceptanceQuery struct {
	Revision uint64
	Wait     time.Duration
}

// Read sets q from URL parameters.
func (q *AcceptanceQuery) Read(v url.Values) error {
	revision, err := strconv.ParseUint(v.Get("revision"), 10, 64)
	if err != nil {
		return fmt.Errorf("revision: want a number, got %q", v.Get("revision"))
	}
	wait, err := time.ParseDuration(v.Get("wait"))
	if err != nil {
		return fmt.Errorf("wait: want a time with its unit, got %q", v.Get("wait"))
	}
	q.Revision = revision
	q.Wait = wait
	return nil
}

// Values returns q as URL parameters.
func (q AcceptanceQuery) Values() url.Values {
	return url.Values{
		"revision": {strconv.FormatUint(q.Revision, 10)},
		"wait":     {q.Wait.String()},
	}
}

// Acceptance reports whether a revision is in force everywhere, and if it is not,
// which instances it waits for.
type Acceptance struct {
	Revision uint64              `json:"revision"`
	Accepted bool                `json:"accepted"`
	Waiting  []AcceptanceWaiting `json:"waiting,omitempty"`
}

// AcceptanceWaiting is an instance that is not known to have the revision.
type AcceptanceWaiting struct {
	Instance string `json:"instance"`
	Site     string `json:"site"`
}

// Drain requests that the current incarnation of an endpoint gets no new work.
type Drain struct {
	Endpoint string `json:"endpoint"`
}

// Drained lists the incarnations that were marked as leaving.
type Drained struct {
	Incarnations []string `json:"lives"`
	// Stored is set if the mark is also stored in the table.
	Stored bool `json:"kept"`
}

// QuarantinedPart is a part of prompts, or a whole request, that is suspected or condemned.
type QuarantinedPart struct {
	// Part is the name of the part, or "request:" and the fingerprint of the request.
	Part      string `json:"part"`
	Condemned bool   `json:"condemned"`
	Crashes   int    `json:"crashes"`
	// LastCrashMs is how long ago the last endpoint crashed, and TestInMs how long it is
	// until it may be tested; both are in milliseconds.
	LastCrashMs int64 `json:"last-crash-ms"`
	TestInMs    int64 `json:"test-in-ms"`
}

// QuarantineList lists the suspected and condemned parts and requests that an instance knows.
type QuarantineList struct {
	Parts []QuarantinedPart `json:"parts"`
}

// PartRelease makes the crashes so far count no longer against a part, or a whole request.
type PartRelease struct {
	Part string `json:"part"`
}

// Status is one instance's view of the system.
type Status struct {
	Instance  string           `json:"instance"`
	Revision  uint64           `json:"revision"`
	Confirmed bool             `json:"confirmed"`
	Stopping  bool             `json:"stopping"`
	Live      []string         `json:"live"`
	Members   []StatusMember   `json:"members"`
	Endpoints []StatusEndpoint `json:"endpoints"`
	Pools     []StatusPool     `json:"pools"`
}

// StatusMember is another instance.
type StatusMember struct {
	Instance string `json:"instance"`
	Site     string `json:"site"`
	Leaving  bool   `json:"leaving"`
}

// StatusEndpoint is an endpoint that may get new work.
type StatusEndpoint struct {
	Service     string `json:"service"`
	Endpoint    string `json:"endpoint"`
	Incarnation uint64 `json:"incarnation"`
	DataCentre  string `json:"data-centre"`
	Address     string `json:"address"`
}

// StatusPool is a pool for which the instance schedules requests.
type StatusPool struct {
	Service string `json:"service"`
	// Standalone is set for a pool in which the instance schedules alone because no
	// owner can be reached.
	Standalone bool `json:"alone"`
	Waiting    int  `json:"waiting"`
	Running    int  `json:"running"`
}
