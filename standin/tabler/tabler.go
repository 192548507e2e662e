// Package tabler is a test double of the platform: a transactional table, an object
// store and an instance list that can be out of date. It keeps everything in memory.
package tabler

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"heatherhold.dev/core/messenger"
)

const bodyLimit = 16 << 20 // bytes

// Tabler serves the platform's three services.
type Tabler struct {
	// Lag is the age of the instance list that is returned.
	Lag time.Duration
	// Expiry is how long an instance stays listed after its last announcement; 0
	// means no limit.
	Expiry time.Duration

	mu            sync.Mutex
	rows          map[string]messenger.Row
	objects       map[string][]byte
	list          map[string]messenger.ListedInstance
	lastAnnounced map[string]time.Time
	history       []snapshot
	reads         int64
	writes        int64
}

// snapshot is the instance list as it was from a point in time on.
type snapshot struct {
	at   time.Time
	list messenger.InstanceList
}

// Handler initializes the table, objects and list and returns the HTTP interface.
func (t *Tabler) Handler() http.Handler {
	t.rows = make(map[string]messenger.Row)
	t.objects = make(map[string][]byte)
	t.list = make(map[string]messenger.ListedInstance)
	t.lastAnnounced = make(map[string]time.Time)
	r := mux.NewRouter()
	r.HandleFunc("/v1/table/commit", t.commit).Methods(http.MethodPost)
	r.HandleFunc("/v1/table/rows", t.row).Methods(http.MethodGet)
	r.HandleFunc("/v1/table/scan", t.scan).Methods(http.MethodGet)
	r.HandleFunc("/v1/objects/{key:.*}", t.putObject).Methods(http.MethodPut)
	r.HandleFunc("/v1/objects/{key:.*}", t.object).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances", t.instances).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances/{name}", t.announce).Methods(http.MethodPut)
	r.HandleFunc("/v1/instances/{name}", t.remove).Methods(http.MethodDelete)
	r.HandleFunc("/v1/counts", t.counts).Methods(http.MethodGet)
	return r
}

func (t *Tabler) commit(w http.ResponseWriter, r *http.Request) {
	var c messenger.Commit
	if !readJSON(w, r, &c) {
		return
	}
	conflicts := t.Commit(c)
	if len(conflicts) > 0 {
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, messenger.Committed{Conflicts: conflicts})
}

// Commit executes a transaction. If the current version of a row does not match a
// condition, Commit changes nothing and returns the conflicting rows.
func (t *Tabler) Commit(c messenger.Commit) []messenger.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	var conflicts []messenger.Row
	for _, want := range c.If {
		got := t.rows[want.Key]
		if got.Version != want.Version {
			got.Key = want.Key
			conflicts = append(conflicts, got)
		}
	}
	if len(conflicts) > 0 {
		return conflicts
	}
	for _, row := range c.Put {
		row.Version = t.rows[row.Key].Version + 1
		t.rows[row.Key] = row
	}
	return nil
}

func (t *Tabler) row(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	t.mu.Lock()
	t.reads++
	row := t.rows[key]
	t.mu.Unlock()
	row.Key = key
	writeJSON(w, row)
}

func (t *Tabler) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t.mu.Lock()
	t.reads++
	var rows []messenger.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			rows = append(rows, row)
		}
	}
	t.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	writeJSON(w, messenger.Rows{Rows: rows})
}

func (t *Tabler) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	t.objects[mux.Vars(r)["key"]] = data
	t.mu.Unlock()
}

func (t *Tabler) object(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	data, ok := t.objects[mux.Vars(r)["key"]]
	t.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (t *Tabler) announce(w http.ResponseWriter, r *http.Request) {
	var l messenger.ListedInstance
	if !readJSON(w, r, &l) {
		return
	}
	l.Name = mux.Vars(r)["name"]
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list[l.Name] = l
	t.lastAnnounced[l.Name] = time.Now()
	t.recordSnapshot()
}

func (t *Tabler) remove(_ http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.list, mux.Vars(r)["name"])
	t.recordSnapshot()
}

// recordSnapshot appends the current list to the history and drops the snapshots
// that are too old to be returned with Lag.
func (t *Tabler) recordSnapshot() {
	now := time.Now()
	var l messenger.InstanceList
	for _, i := range t.list {
		l.Instances = append(l.Instances, i)
	}
	sort.Slice(l.Instances, func(i, j int) bool { return l.Instances[i].Name < l.Instances[j].Name })
	t.history = append(t.history, snapshot{
		at:   now,
		list: l,
	})
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= t.Lag {
		t.history = t.history[1:]
	}
}

// expire removes the instances that were last announced more than Expiry ago.
func (t *Tabler) expire() {
	if t.Expiry == 0 {
		return
	}
	for name, at := range t.lastAnnounced {
		if time.Since(at) > t.Expiry {
			delete(t.list, name)
			delete(t.lastAnnounced, name)
			t.recordSnapshot()
		}
	}
}

func (t *Tabler) instances(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	t.expire()
	var l messenger.InstanceList
	for _, s := range t.history {
		if time.Since(s.at) >= t.Lag {
			l = s.list
		}
	}
	t.mu.Unlock()
	writeJSON(w, l)
}

// Counts is the number of reads and writes that the table has served.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

func (t *Tabler) counts(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, Counts{
		Reads:  t.reads,
		Writes: t.writes,
	})
}

// readJSON decodes the request's body into v. If it fails it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
