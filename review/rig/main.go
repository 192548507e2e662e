// Rig starts a small deployment on loopback addresses: the project's own routers as separate
// processes, and stand-ins of the platform's store, of endpoints, of the load balancer and of
// callers. It plays one case and exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// record is the case's record of what was sent, answered and run.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// configuration is that of a small deployment, with the figures of the users' site.
const configuration = `{"version":7,"routes":[
{"name":"draft","host":"site.example","prefix":"/draft/","kind":"streaming","timeout_ms":20000,"goal_ms":500,"priority":0,"service":"word-llm","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":200},
{"name":"order","host":"site.example","prefix":"/order/","kind":"non_idempotent","timeout_ms":800,"goal_ms":150,"priority":2,"service":"press-svc","attempts":1,"public":false}],
"services":[{"name":"word-llm","health_path":"/health","max_conns":1048,"engine":{"slots":192,"kv_tokens":100000,"kv_bytes":918000,"link_mbps":400000.0,"stride":3,"models":[{"name":"m0","load_s":14.0}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_at_once":5,"delays":[{"from":"hobart","to":"glenorchy","delay_ms":0.5},{"from":"hobart","to":"kingston","delay_ms":0.5},{"from":"glenorchy","to":"kingston","delay_ms":0.5}],"usual":{"prompt":774,"answer":203},"layers":80,"layer_mb":1750.0,"act_bytes":45900,"pipe_mbps":18000.0,"kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2},{"name":"l40s","mb":43200.0,"pace":5.6,"read_x":2.7}]}},
{"name":"press-svc","health_path":"/health","max_conns":52}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"one","api_keys":["key-of-tenant-one"]}]}`

// newFleet starts the store and the endpoints.
func newFleet(root, dir string, firstStages int, log *record, g *sync.WaitGroup) (*fleet, error) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.toml"))
	if err != nil {
		return nil, err
	}
	s, err := newStore(g)
	if err != nil {
		return nil, err
	}
	s.write(row{Table: "op", Key: "config", Value: []byte(configuration)})
	var runners []*runner
	for z, zone := range zones {
		// The first stage has firstStages holders in each zone.
		for n := range 3 + firstStages {
			stage, kind := max(n-firstStages+1, 0), "l40s"
			if stage == 0 {
				kind = "a100"
			}
			r := &runner{
				id: fmt.Sprintf("i-%d%d", z, n), service: "word-llm", zone: zone, kind: kind,
				from: 20 * stage, to: 20 * (stage + 1), seq: 1, log: log, store: s,
			}
			if err := newRunner(g, r); err != nil {
				return nil, err
			}
			runners = append(runners, r)
		}
		if err := newRunner(g, &runner{id: fmt.Sprintf("i-%dp", z), service: "press-svc", zone: zone, log: log, store: s}); err != nil {
			return nil, err
		}
	}
	p, err := freePorts()
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, dir: dir, template: string(template), store: s, log: log, group: g, ports: p, net: 20 + rand.IntN(200), runners: runners}, nil
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = 2
	}
	os.Exit(code)
}

// firstNumber returns the number before that of the first machine. The names of the machines decide
// by hash which of them owns the pool and which read the store.
func firstNumber() int {
	if n, err := strconv.Atoi(os.Getenv("FIRST")); err == nil {
		return n
	}
	if os.Args[1] == "readers" {
		return firstOfReaders
	}
	return 0
}

func run() (code int, err error) {
	if len(os.Args) != 4 {
		return 2, fmt.Errorf("usage: review-rig CASE ROOT RECORD")
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		return 2, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	log := &record{start: time.Now(), file: file}
	var g sync.WaitGroup
	firstStages := 1
	switch os.Args[1] {
	case "stale":
		firstStages = 1 + rounds
	case "readers":
		firstStages = 1 + darkRounds*leavePerZone
	}
	f, err := newFleet(os.Args[2], dir, firstStages, log, &g)
	if err != nil {
		return 2, err
	}
	defer f.killAll()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	g.Go(func() {
		<-signals
		f.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	})
	c := &callers{fleet: f, log: log, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	f.n = firstNumber()
	play := map[string]func(context.Context, *fleet, *callers) (int, error){"replaced": replaced, "stale": stale, "readers": readers}[os.Args[1]]
	if play == nil {
		return 2, fmt.Errorf("no case %q", os.Args[1])
	}
	return play(ctx, f, c)
}
