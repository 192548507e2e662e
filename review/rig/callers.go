package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host = "site.example"
	key  = "key-of-tenant-one"
	// abandonAfter is the gap after which a client abandons a stream.
	abandonAfter = 2 * time.Second
)

// result is one request of a client, which is one attempt.
type result struct {
	id     string
	to     *machine
	sent   time.Time
	draft  bool
	served bool
	status string
}

// callers send requests to the machines in rotation.
type callers struct {
	fleet  *fleet
	log    *record
	client *http.Client

	mu      sync.Mutex
	n       int
	results []result
}

// run sends perSecond requests a second until ctx ends.
func (c *callers) run(ctx context.Context, perSecond int) {
	var g sync.WaitGroup
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			g.Wait()
			return
		case <-t.C:
		}
		// Nine in ten requests are drafts, as on the users' sheet.
		draft := i%10 != 9
		g.Go(func() { c.call(draft) })
	}
}

// call sends a request, and once more after a promise that it has not run.
func (c *callers) call(draft bool) {
	for range 2 {
		m := c.fleet.pick()
		if m == nil {
			c.add(result{sent: time.Now(), draft: draft, status: "no machine in rotation"})
			return
		}
		status, wait := c.attempt(m, draft)
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(wait)
	}
}

func (c *callers) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// attempt sends one request and returns the status, 0 without an answer.
func (c *callers) attempt(m *machine, draft bool) (int, time.Duration) {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%08x%08x", c.n, rand.Uint32())
	c.mu.Unlock()
	r := result{id: id, to: m, sent: time.Now(), draft: draft}
	deadline := 20 * time.Second
	path := "/draft/one/"
	if !draft {
		deadline, path = 1500*time.Millisecond, "/order/one/"
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front()+path, strings.NewReader("text of "+id))
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if draft {
		req.Header.Set("X-Model", "m0")
		req.Header.Set("X-Token-Count", "800,171")
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%08x:40,%s:760", rand.IntN(60), id))
	}
	c.log.add("sent %s to %s (%s)", id, m.name, path)
	patience := time.AfterFunc(abandonAfter, cancel)
	if !draft {
		patience.Stop()
	}
	status, wait := 0, 500*time.Millisecond
	res, err := c.client.Do(req)
	if err == nil {
		status = res.StatusCode
		r.served, err = readAnswer(res, draft, patience)
		if s, e := time.ParseDuration(res.Header.Get("Retry-After") + "s"); e == nil {
			wait = s
		}
	}
	patience.Stop()
	r.status = fmt.Sprint(status)
	if err != nil {
		r.status += " " + short(err)
	}
	c.log.add("answered %s by %s: %s, served %v, after %d ms", id, m.name, r.status, r.served, time.Since(r.sent).Milliseconds())
	c.add(r)
	return status, wait
}

func short(err error) string {
	text := err.Error()
	return text[max(0, len(text)-60):]
}

// readAnswer reads the body and reports whether the request was served.
func readAnswer(res *http.Response, draft bool, patience *time.Timer) (bool, error) {
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK || res.Header.Get("X-Server-Stamp") == "" || !draft {
		_, err := io.Copy(io.Discard, res.Body)
		return err == nil && res.StatusCode == http.StatusOK, err
	}
	events := 0
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("id:")) {
			events++
			patience.Reset(abandonAfter)
		}
	}
	return lines.Err() == nil && events == 57, lines.Err()
}

// sentTo returns the machine to which a request was sent, and when.
func (c *callers) sentTo(id string) (*machine, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.id == id {
			return r.to, r.sent
		}
	}
	return nil, time.Time{}
}

// served returns the numbers of served and of all requests sent in [from, to).
func (c *callers) served(from, to time.Time) (served, all, drafts, draftsServed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		all++
		if r.served {
			served++
		}
		if r.draft {
			drafts++
			if r.served {
				draftsServed++
			}
		}
	}
	return served, all, drafts, draftsServed
}
