package forwarder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"heatherhold.dev/core/classifier"
	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/claimer"
	"heatherhold.dev/router/forwarder"
	"heatherhold.dev/router/provider"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/streamer"
	"heatherhold.dev/standin/recorder"
	"heatherhold.dev/standin/tabler"
)

const (
	seed      = 7
	requests  = 10_080
	instances = 3
	workers   = 24
	keys      = 2_500
)

// flakyTable is a table that fails every read, and some commits, before or after the
// write takes effect.
type flakyTable struct {
	table *tabler.Tabler

	mu     sync.Mutex
	random *rand.Rand
}

func (f *flakyTable) chance(percent int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100) < percent
}

func (f *flakyTable) Commit(_ context.Context, c messenger.Commit) ([]messenger.Row, error) {
	if f.chance(10) {
		return nil, provider.ErrUnavailable
	}
	conflicts := f.table.Commit(c)
	if f.chance(10) {
		return nil, provider.ErrUnavailable
	}
	return conflicts, nil
}

func (f *flakyTable) Row(context.Context, string) (messenger.Row, error) {
	return messenger.Row{}, provider.ErrUnavailable
}

func (f *flakyTable) Scan(context.Context, string, string) ([]messenger.Row, error) {
	return nil, provider.ErrUnavailable
}

// flakyService handles calls but drops some connections, before or after it has run
// the call, and sometimes runs the call without responding.
type flakyService struct {
	handler http.Handler

	mu     sync.Mutex
	random *rand.Rand
}

func (f *flakyService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	fault := f.random.IntN(100)
	f.mu.Unlock()
	switch {
	case fault < 4:
		panic(http.ErrAbortHandler)
	case fault < 8:
		f.handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case fault < 9:
		f.handler.ServeHTTP(httptest.NewRecorder(), r)
		<-r.Context().Done()
	default:
		f.handler.ServeHTTP(w, r)
	}
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// cluster is several instances that share one table and one faulty service.
type cluster struct {
	forwarders []*forwarder.Forwarder
	service    *httptest.Server
	group      errgroup.Group
	stop       context.CancelFunc
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	var orders recorder.Recorder
	c := &cluster{service: httptest.NewServer(&flakyService{
		handler: orders.Handler(),
		random:  rand.New(rand.NewPCG(seed, 1)),
	})}
	t.Cleanup(func() {
		c.service.CloseClientConnections()
		c.service.Close()
	})
	var table tabler.Tabler
	table.Handler()
	p := publisher.New()
	p.Publish(&publisher.View{Endpoints: map[identifier.Service][]publisher.Endpoint{"orders": {
		{Address: strings.TrimPrefix(c.service.URL, "http://")},
		{Address: unusedAddress(t)},
	}}})
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	for i := range uint64(instances) {
		claims := claimer.New()
		claims.Table = &flakyTable{
			table:  &table,
			random: rand.New(rand.NewPCG(seed, 2+i)),
		}
		claims.WaitTimeout = 100 * time.Millisecond
		c.group.Go(func() error { return claims.Run(ctx) })
		c.forwarders = append(c.forwarders, &forwarder.Forwarder{
			Publisher: p,
			Claimer:   claims,
			Budget:    &streamer.Budget{},
			Log:       log,
		})
	}
	return c
}

// outcome is what the caller of one order got back: the order's ID, if it is known,
// and whether the call ran.
type outcome struct {
	order string
	ran   classifier.Ran
}

func (c *cluster) placeOrder(ctx context.Context, instance, key int, request string) outcome {
	response, err := c.forwarders[instance].Forward(ctx, forwarder.Call{
		Request:        identifier.Request(request),
		Service:        "orders",
		Method:         http.MethodPost,
		Path:           "/orders",
		Header:         http.Header{"Idempotency-Key": {fmt.Sprint(key)}},
		Body:           fmt.Appendf(nil, "plate %d", key),
		AttemptTimeout: 300 * time.Millisecond,
		Hash:           fmt.Sprint(key),
		Claim: claimer.Key{
			Customer: "council",
			Service:  "orders",
			Key:      fmt.Sprint(key),
		},
		Allowed: func() error { return nil },
	})
	if err != nil {
		return outcome{ran: classifier.ResponseOf(classifier.Classify(err).Kind).Ran}
	}
	var o recorder.Order
	if err := json.NewDecoder(bytes.NewReader(response.Body)).Decode(&o); err != nil {
		return outcome{ran: classifier.RanUnknown}
	}
	return outcome{
		order: o.ID,
		ran:   classifier.RanYes,
	}
}

// runCounts returns how often the service ran each body and each request.
func (c *cluster) runCounts(t *testing.T) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for range 100 {
		res, err := http.Get(c.service.URL + "/runs")
		if err != nil {
			continue
		}
		err = json.NewDecoder(res.Body).Decode(&runs)
		res.Body.Close()
		if err == nil {
			return runs
		}
	}
	t.Fatal("the service did not return its run counts")
	return nil
}

// TestAtMostOnceHistory sends orders with the same keys through several instances
// while table responses are lost, connections are dropped and calls get no response.
// No order may run twice, a request reported as "ran: no" must not have run, and the
// responses for each key must be consistent with a single execution.
func TestAtMostOnceHistory(t *testing.T) {
	c := newCluster(t)
	var mu sync.Mutex
	var history []porcupine.Operation
	refused := make(map[string]bool)
	start := time.Now()
	var group errgroup.Group
	for w := range workers {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(seed, uint64(100+w)))
			for n := range requests / workers {
				key := random.IntN(keys)
				request := fmt.Sprintf("%d-%d", w, n)
				called := time.Since(start)
				got := c.placeOrder(t.Context(), random.IntN(instances), key, request)
				returned := time.Since(start)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: w,
					Input:    key,
					Output:   got,
					Call:     called.Nanoseconds(),
					Return:   returned.Nanoseconds(),
				})
				if got.ran == classifier.RanNo {
					refused[request] = true
				}
				mu.Unlock()
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	c.stop()
	if err := c.group.Wait(); err != nil {
		t.Fatal(err)
	}
	checkRuns(t, c.runCounts(t), refused)
	if !porcupine.CheckOperations(model(), history) {
		t.Error("the responses are not consistent with a single execution for each key")
	}
	t.Logf("%d requests, %d refused with ran: no", len(history), len(refused))
}

func checkRuns(t *testing.T, runs map[string]int, refused map[string]bool) {
	t.Helper()
	for body, n := range runs {
		if strings.HasPrefix(body, "plate ") && n > 1 {
			t.Errorf("%s ran %d times, want at most once", body, n)
		}
	}
	for request := range refused {
		if n := runs["request:"+request]; n != 0 {
			t.Errorf("request %s was refused with ran: no but ran %d times", request, n)
		}
	}
	if len(refused) == 0 {
		t.Error("got no refusal with ran: no, want some")
	}
}

// model describes one key. Its order has not run, has run without a known response,
// or has run with a response that never changes.
func model() porcupine.Model {
	const notRun, unknown = "", "?"
	nondeterministic := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[int][]porcupine.Operation)
			for _, o := range history {
				byKey[o.Input.(int)] = append(byKey[o.Input.(int)], o)
			}
			var partitions [][]porcupine.Operation
			for _, partition := range byKey {
				partitions = append(partitions, partition)
			}
			return partitions
		},
		Init: func() []any { return []any{notRun} },
		Step: func(state, _, output any) []any {
			got := output.(outcome)
			switch {
			case got.ran == classifier.RanNo:
				return []any{state}
			case got.ran == classifier.RanUnknown && state == notRun:
				return []any{notRun, unknown}
			case got.ran == classifier.RanUnknown:
				return []any{state}
			case state == notRun || state == unknown || state == got.order:
				return []any{got.order}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return nondeterministic.ToModel()
}
