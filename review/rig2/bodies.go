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
	// linkBytes is how much of what the machine's link carries in a second is used: three quarters,
	// so that no packet waits.
	linkBytes = 0.75 * 1000e6 / 8
	// sendingAtOnce is how many of the bodies that are sent to their end arrive at once.
	sendingAtOnce = 4
	// bodiesTime is how long the case watches a router and a crowd, and calmBodiesTime how long it
	// watches without one.
	bodiesTime     = 20 * time.Second
	calmBodiesTime = 18 * time.Second
	// The crowd comes crowdRounds times to each of crowdTargets routers. startDelay is the time after
	// which the platform starts a process again.
	crowdRounds  = 3
	crowdTargets = 2
	startDelay   = time.Second
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
				got := getDraft(r.routers[i%crowdTargets].front)
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
			}
		})
	}
	time.Sleep(calmTime)
	var ends [crowdTargets]int
	if r.trouble {
		var targets sync.WaitGroup
		for i := range crowdTargets {
			targets.Go(func() { ends[i] = r.playCrowds(r.routers[i]) })
		}
		targets.Wait()
	} else {
		time.Sleep(calmBodiesTime)
		r.note("memory of the routers: %.0f, %.0f and %.0f MB", r.routers[0].memory(), r.routers[1].memory(), r.routers[2].memory())
	}
	close(stop)
	group.Wait()
	broken := 0
	for _, got := range sortResults(results) {
		r.note("draft sent at %.3f s: %s", got.sent.Sub(r.began).Seconds(), got.String())
		if !got.served() {
			broken++
		}
	}
	machines := 0
	for i, n := range ends {
		r.note("router %s was over %d MB, or ended, %d times", r.routers[i].name, memoryMB, n)
		if n >= crowdRounds {
			machines++
		}
	}
	r.note("ordinary drafts: %d, not served %d", len(results), broken)
	if len(results) == 0 || !r.trouble && broken > 0 {
		return false, fmt.Errorf("%d of %d ordinary drafts not served", broken, len(results))
	}
	return machines >= crowdTargets, nil
}

// playCrowds has a crowd of clients come to a router, and again each time that the platform has killed
// it because of its memory and started it again. It returns how often that was.
func (r *rig) playCrowds(target *router) int {
	ends := 0
	for round := 1; round <= crowdRounds; round++ {
		stop := make(chan struct{})
		var crowd sync.WaitGroup
		sendBodies(r, target, stop, &crowd)
		over := r.awaitEnd(target)
		close(stop)
		crowd.Wait()
		if !over {
			return ends
		}
		ends++
		if round == crowdRounds {
			return ends
		}
		time.Sleep(startDelay)
		if err := r.start(target); err != nil {
			r.note("router %s not started again: %v", target.name, err)
			return ends
		}
		if err := r.awaitReady(10 * time.Second); err != nil {
			r.note("router %s not ready again: %v", target.name, err)
			return ends
		}
	}
	return ends
}

// awaitEnd watches the memory of a router as the platform does, which kills it if it has more than its
// machine. It returns whether the router ended.
func (r *rig) awaitEnd(target *router) bool {
	for deadline := time.Now().Add(bodiesTime); time.Now().Before(deadline); time.Sleep(memoryInterval) {
		if target.ended() {
			r.note("router %s ended by itself", target.name)
			return true
		}
		if now := target.memory(); now > memoryMB {
			r.note("router %s holds %.0f MB without files, its machine has %d MB: the platform kills it", target.name, now, memoryMB)
			target.end()
			return true
		}
	}
	r.note("router %s holds %.0f MB at the end of %v", target.name, target.memory(), bodiesTime)
	return false
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
			r.note("client %d of %s, body of %d bytes: %s", i, target.name, bodyLimit, sendBody(target, link, bodyLimit, true, func() { <-turns }, stop))
		})
	}
	r.note("router %s: %d clients send chunked bodies: %d of %d bytes to the end, the others stop one byte short of %d bytes", target.name, bodySenders, bodySenders/completeShare, bodyLimit, shortBody)
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
