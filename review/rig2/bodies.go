package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// draftClients send ordinary drafts all the time.
	draftClients  = 8
	draftDeadline = 20 * time.Second
	draftTokens   = 171
	// draftStagger keeps the clients from sending in step.
	draftStagger = 300 * time.Millisecond
	eventPause   = 40 * time.Millisecond
	// bodySenders is the number of clients with chunked bodies. One in completeShare sends a body
	// of the limit to its end; the others stop just short of the end of a smaller one.
	bodySenders   = 400
	completeShare = 4
	shortBody     = 64 << 10
	chunkBytes    = 32 << 10
	// longTokens is the largest output that a request of the deployment asks for.
	longTokens = 591
	// linkBytes is what the machine's link carries in a second.
	linkBytes = 1000e6 / 8
	// sendingAtOnce is how many of the bodies that are sent to their end arrive at once.
	sendingAtOnce = 4
	// bodiesTime is how long the case watches the router.
	bodiesTime = 20 * time.Second
	// memoryInterval is how often the platform looks at the memory of the process.
	memoryInterval = 10 * time.Millisecond
)

// playBodies has many clients that send chunked bodies in large chunks. Most stop just short of
// the end and stay open; the others send theirs to the end, within the limit of a body. The process
// must stay within the memory of its machine.
func playBodies(r *rig) (bool, error) {
	if err := r.startStore(); err != nil {
		return false, err
	}
	r.store.putConfiguration()
	for i := range 2 {
		if err := r.addRunner(&runner{id: fmt.Sprintf("i-%08x", 0x5a3a9100+i), service: modelName, pause: eventPause}); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		if _, err := r.addRouter(fmt.Sprintf("front-hobart-%d", i+1)); err != nil {
			return false, err
		}
	}
	for _, p := range r.routers {
		if err := r.start(p); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	target := r.routers[0]

	var mu sync.Mutex
	var results []result
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range draftClients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * draftStagger)
			for {
				select {
				case <-stop:
					return
				case <-time.After(ordinaryPause):
				}
				got := getDraft(target.front)
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
			}
		})
	}
	var killed atomic.Bool
	var top float64
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryInterval):
			}
			if target.ended() {
				return
			}
			now := target.memory()
			top = max(top, now)
			if now > memoryMB {
				r.note("router %s holds %.0f MB without files, its machine has %d MB: the platform kills it", target.name, now, memoryMB)
				killed.Store(true)
				target.end()
				return
			}
		}
	})
	time.Sleep(calmTime)
	var others sync.WaitGroup
	if r.trouble {
		sendBodies(r, target, stop, &others)
	}
	deadline := time.Now().Add(bodiesTime)
	for time.Now().Before(deadline) && !killed.Load() {
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	others.Wait()
	broken := 0
	for _, got := range sortResults(results) {
		r.note("draft sent at %.3f s: %s", got.sent.Sub(r.began).Seconds(), got.String())
		if !got.served() {
			broken++
		}
	}
	r.note("largest memory seen %.0f MB, the machine has %d MB; ordinary drafts: %d, not served %d", top, memoryMB, len(results), broken)
	if len(results) == 0 || !r.trouble && broken > 0 {
		return false, fmt.Errorf("%d of %d ordinary drafts not served", broken, len(results))
	}
	return killed.Load() || target.ended(), nil
}

// pacer spreads the bytes of all senders over time, as the machine's link does.
type pacer struct {
	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(float64(n) / linkBytes * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}

// sendBodies starts the clients with chunked bodies.
func sendBodies(r *rig, target *router, stop <-chan struct{}, group *sync.WaitGroup) {
	link := &pacer{}
	turns := make(chan struct{}, sendingAtOnce)
	for i := range bodySenders {
		group.Go(func() {
			if i%completeShare != 0 {
				_ = sendBody(target, link, shortBody, false, nil, stop)
				return
			}
			turns <- struct{}{}
			r.note("client %d, body of %d bytes: %s", i, bodyLimit, sendBody(target, link, bodyLimit, true, func() { <-turns }, stop))
		})
	}
	r.note("%d clients send chunked bodies: %d of %d bytes to the end, the others stop one byte short of %d bytes", bodySenders, bodySenders/completeShare, bodyLimit, shortBody)
}

// sendBody sends one request and returns what came of it. It calls sent once the body has been sent
// to its end, or can't be.
func sendBody(target *router, link *pacer, size int, complete bool, sent func(), stop <-chan struct{}) string {
	var once sync.Once
	if sent == nil {
		sent = func() {}
	}
	defer once.Do(sent)
	c, err := net.DialTimeout("tcp", target.front, connectLimit)
	if err != nil {
		return "not connected"
	}
	defer c.Close()
	if _, err := io.WriteString(c, draftHead(newID(), otherKey, longTokens, "Transfer-Encoding: chunked")); err != nil {
		return "not sent"
	}
	rest := size
	if !complete {
		rest--
	}
	for rest > 0 {
		n := min(rest, chunkBytes)
		link.wait(n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, bytes.Repeat([]byte("x"), n)); err != nil {
			return "not sent to its end"
		}
		rest -= n
	}
	if !complete {
		<-stop
		return "stopped short"
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return "not sent to its end"
	}
	once.Do(sent)
	_ = c.SetReadDeadline(time.Now().Add(draftDeadline))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil {
		return fmt.Sprintf("status %d, broken off after %d bytes", res.StatusCode, n)
	}
	return fmt.Sprintf("status %d, %d bytes", res.StatusCode, n)
}

// draftHead returns the head of a request for a draft.
func draftHead(id, key string, tokens int, framing string) string {
	return strings.Join([]string{
		"POST " + draftPath + "2f HTTP/1.1",
		"Host: " + host,
		"X-Request-Id: " + id,
		"X-Model: daka510000",
		"X-Token-Count: 800," + strconv.Itoa(tokens),
		"X-Prompt-Prefix: 5c1e07a2:40," + id[:8] + ":760",
		"X-Deadline-Ms: " + strconv.FormatInt(draftDeadline.Milliseconds(), 10),
		"X-Api-Key: " + key,
		"Connection: close",
		framing,
	}, "\r\n") + "\r\n\r\n"
}

// getDraft sends one ordinary request for a draft over a new connection and reads its events.
func getDraft(address string) result {
	r := result{id: newID(), sent: time.Now()}
	c, err := net.DialTimeout("tcp", address, connectLimit)
	if err != nil {
		r.err = err
		r.ended = time.Now()
		return r
	}
	defer c.Close()
	_ = c.SetDeadline(r.sent.Add(draftDeadline))
	body := strings.Repeat("y", 800)
	if _, err = io.WriteString(c, draftHead(r.id, apiKey, draftTokens, "Content-Length: "+strconv.Itoa(len(body)))+body); err != nil {
		r.err = err
		r.ended = time.Now()
		return r
	}
	r.read(c)
	r.ended = time.Now()
	return r
}
