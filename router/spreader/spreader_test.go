package spreader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/spreader"
)

const (
	term     = 2 * time.Second
	interval = 100 * time.Millisecond
	most     = 7 // instances
)

// node is one instance in a simulated network.
type node struct {
	state  *spreader.State
	group  int
	paused bool
	// unlisted keeps the node from the platform's list.
	unlisted bool
	// inbox holds what arrives while the node is paused or the message slow.
	inbox []letter
	last  identifier.Revision
}

// letter is a message that is carried out when it is due.
type letter struct {
	due  time.Time
	open func()
}

// network is instances that exchange in fake time, with faults.
type network struct {
	t       interface{ Fatalf(string, ...any) }
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	table   []*messenger.Change
	tableUp bool
	watched *spreader.Acceptance
	at      *node
	// accepted is the highest revision that was called accepted.
	accepted identifier.Revision
}

func drawNetwork(t *rapid.T) *network {
	return newNetwork(t, rapid.Uint64().Draw(t, "seed"))
}

func newNetwork(t interface{ Fatalf(string, ...any) }, seed uint64) *network {
	w := &network{
		t:       t,
		now:     time.Unix(1000, 0),
		random:  rand.New(rand.NewPCG(seed, 1)),
		tableUp: true,
	}
	w.append()
	for range 4 {
		w.join(0)
	}
	// The first instances are established when the faults begin.
	for range 100 {
		w.tick()
	}
	return w
}

func (w *network) append() {
	r := uint64(len(w.table) + 1)
	w.table = append(w.table, &messenger.Change{
		Revision: r,
		Id:       fmt.Sprint(r),
	})
}

func (w *network) join(group int) {
	n := &node{
		group: group,
		state: &spreader.State{
			Self: &messenger.Member{
				Instance:    fmt.Sprintf("r%d", len(w.nodes)),
				Incarnation: 1,
			},
			Term: term,
			Born: w.now,
		},
	}
	// A newcomer learns of the others in its reach from the platform's list.
	for _, other := range w.nodes {
		if other.group == group {
			n.state.Listed(w.now, []*messenger.Member{other.state.Self})
		}
	}
	w.nodes = append(w.nodes, n)
}

func (w *network) reach(a, b *node) bool {
	return a.group == b.group && !a.paused && !b.paused
}

// delay is usually nothing and sometimes longer than a term.
func (w *network) delay() time.Duration {
	if w.random.IntN(20) > 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(2 * term)))
}

func (w *network) send(to *node, open func()) {
	l := letter{
		due:  w.now.Add(w.delay()),
		open: open,
	}
	if l.due.After(w.now) || to.paused {
		to.inbox = append(to.inbox, l)
		return
	}
	open()
}

// exchange runs one exchange, each message of which may be slow.
func (w *network) exchange(a, b *node) {
	sent := w.now
	request := a.state.Request(w.now, b.state.Revision())
	w.send(b, func() {
		reply := b.state.Answer(w.now, request)
		w.send(a, func() { a.state.Receive(sent, w.now, reply) })
	})
}

// readTable reads the table, whose answer may be slow.
func (w *network) readTable(n *node) {
	sent := w.now
	head := identifier.Revision(len(w.table))
	changes := w.table[min(int(n.state.Revision()), len(w.table)):]
	w.send(n, func() {
		n.state.Apply(changes)
		n.state.TableRead(sent, head)
	})
}

// tick lets an interval pass: what is due arrives, and every instance that is
// awake exchanges with one peer.
func (w *network) tick() {
	w.now = w.now.Add(interval)
	for _, n := range w.nodes {
		if n.paused {
			continue
		}
		w.deliver(n)
		if w.tableUp && n.group == 0 && (w.random.IntN(10) == 0 || !n.state.Established(w.now)) {
			w.readTable(n)
		}
		w.readList(n)
		w.gossip(n)
	}
	w.watch()
	w.check()
}

// readList now and then reads the platform's list, which lags by a second.
func (w *network) readList(n *node) {
	if n.group != 0 || w.random.IntN(10) > 0 {
		return
	}
	var listed []*messenger.Member
	for _, other := range w.nodes {
		if w.now.Sub(other.state.Born) > time.Second && !other.unlisted {
			listed = append(listed, other.state.Self)
		}
	}
	n.state.Listed(w.now, listed)
}

func (w *network) deliver(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, l := range inbox {
		if l.due.After(w.now) {
			n.inbox = append(n.inbox, l)
			continue
		}
		l.open()
	}
}

func (w *network) find(m *messenger.Member) *node {
	for _, n := range w.nodes {
		if n.state.Self.GetInstance() == m.GetInstance() {
			return n
		}
	}
	return nil
}

func (w *network) gossip(n *node) {
	members := n.state.Members()
	if len(members) == 0 {
		return
	}
	peer := w.find(members[w.random.IntN(len(members))])
	if suspects := n.state.Suspects(); len(suspects) > 0 && w.random.IntN(4) == 0 {
		peer = w.find(suspects[w.random.IntN(len(suspects))])
	}
	if w.reach(n, peer) {
		w.exchange(n, peer)
		return
	}
	n.state.Suspect(w.now, peer.state.Self.GetInstance())
}

// watch follows the latest revision until it is accepted.
func (w *network) watch() {
	if w.watched == nil || w.at.paused {
		return
	}
	w.watched.Know(w.at.state.Members())
	for _, m := range w.watched.Unreached() {
		peer := w.find(m)
		if peer == nil || !w.reach(w.at, peer) {
			continue
		}
		w.watched.Heard(w.now, peer.state.Answer(w.now, w.at.state.Request(w.now, peer.state.Revision())))
	}
	if ok, _ := w.watched.Accepted(w.now); ok && w.at.state.Oversees() {
		w.accepted = max(w.accepted, w.watched.Revision)
		w.watched = nil
	}
}

// check holds the promises against every instance.
func (w *network) check() {
	for _, n := range w.nodes {
		r := n.state.Revision()
		if r < n.last {
			w.t.Fatalf("%s went from revision %d back to %d", n.state.Self.GetInstance(), n.last, r)
		}
		n.last = r
		if n.state.Confirmed(w.now) && r < w.accepted {
			w.t.Fatalf("%s decides by revision %d after %d was accepted", n.state.Self.GetInstance(), r, w.accepted)
		}
	}
}

func (w *network) pick(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

// commit commits a change at n and follows it.
func (w *network) commit(n *node) {
	w.append()
	n.state.Apply(w.table[n.state.Revision():])
	w.at = n
	w.watched = &spreader.Acceptance{
		Revision: identifier.Revision(len(w.table)),
		Term:     term,
		Since:    w.now,
	}
}

// oldest returns an instance that was there from the start.
func (w *network) oldest() *node {
	return w.nodes[0]
}

func (w *network) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				w.tick()
			}
		},
		"commit": func(t *rapid.T) {
			n := w.pick(t)
			if w.tableUp && n.group == 0 && !n.paused && w.watched == nil {
				w.commit(n)
			}
		},
		"pause":  func(t *rapid.T) { w.pick(t).paused = true },
		"resume": func(t *rapid.T) { w.pick(t).paused = false },
		"move":   func(t *rapid.T) { w.pick(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
		"heal": func(*rapid.T) {
			for _, n := range w.nodes {
				n.group, n.paused = 0, false
			}
		},
		"outage": func(t *rapid.T) { w.tableUp = rapid.Bool().Draw(t, "up") },
		"join": func(t *rapid.T) {
			if len(w.nodes) < most {
				w.join(rapid.IntRange(0, 2).Draw(t, "group"))
			}
		},
	}
}

// TestAccepted drives instances through pauses, cuts, outages, slow messages
// and newcomers: once a revision is accepted no instance decides by an older
// one, and none ever goes back.
func TestAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawNetwork(t)
		t.Repeat(w.actions())
	})
}

// TestHealed requires that a change is accepted, and that every instance
// decides by it, within 9 s once all faults have ended.
func TestHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawNetwork(t)
		t.Repeat(w.actions())
		actions := w.actions()
		actions["heal"](t)
		w.tableUp = true
		w.watched = nil
		// Messages that were sent in the time of the faults arrive first.
		for range 2 * term / interval {
			w.tick()
		}
		n := w.oldest()
		w.commit(n)
		for range 9 * time.Second / interval {
			w.tick()
		}
		if w.accepted < identifier.Revision(len(w.table)) {
			_, waiting := w.watched.Accepted(w.now)
			t.Fatalf("revision %d is not accepted 9 s after the faults ended; waiting for %v", len(w.table), waiting)
		}
		for _, n := range w.nodes {
			if !n.state.Confirmed(w.now) {
				t.Fatalf("%s does not decide 9 s after the faults ended", n.state.Self.GetInstance())
			}
		}
	})
}

// TestLoneWithNewcomers cuts one instance off and starts newcomers beside it,
// with the table out of their reach. The change may be accepted without them (it
// is not where a slow message tells of the newcomers), and then they must not
// have confirmed each other's old revision.
func TestLoneWithNewcomers(t *testing.T) {
	accepted := 0
	for seed := range uint64(50) {
		w := newNetwork(t, seed)
		w.nodes[3].group = 1
		w.join(1)
		w.nodes[4].unlisted = true
		w.commit(w.nodes[0])
		for i := range 30 * time.Second / interval {
			w.tick()
			if i == 40 {
				w.join(1)
				w.nodes[5].unlisted = true
			}
		}
		if w.accepted == 2 {
			accepted++
		}
	}
	if accepted == 0 {
		t.Error("got no change accepted beside the lone instance, want some")
	}
}

// TestSlowAnswer has an answer that was long on its way: it confirms from when
// its question was sent, not from when it arrived.
func TestSlowAnswer(t *testing.T) {
	w := newNetwork(t, 1)
	a, b := w.nodes[0], w.nodes[1]
	sent := w.now
	reply := b.state.Answer(w.now, a.state.Request(w.now, 0))
	w.now = w.now.Add(3 * term)
	a.state.Receive(sent, w.now, reply)
	if a.state.Confirmed(w.now) {
		t.Error("got confirmed by an answer to a question that is three terms old")
	}
}
