package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/gossiper"
)

const (
	term     = 2 * time.Second
	interval = 100 * time.Millisecond
	maxNodes = 7 // instances
)

// node is one instance in a simulated network.
type node struct {
	state  *gossiper.State
	group  int
	paused bool
	// unlisted leaves the node out of the platform's list.
	unlisted bool
	// inbox holds the messages that are delayed or arrive while the node is paused.
	inbox        []message
	lastRevision identifier.Revision
}

// message is a message in transit. It is handled when it is due, or later if the
// receiver is paused.
type message struct {
	due    time.Time
	handle func()
}

// network simulates instances that exchange messages in fake time, with faults.
type network struct {
	t       interface{ Fatalf(string, ...any) }
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	table   []*messenger.Change
	tableUp bool
	// acceptance tracks the last commit until it is accepted, and committer is the
	// node that made the commit.
	acceptance *gossiper.Acceptance
	committer  *node
	// accepted is the highest revision that acceptance reported as accepted.
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
		w.addNode(0)
	}
	// The first instances must be established before faults begin.
	for range 100 {
		w.tick()
	}
	return w
}

// append adds a revision to the table.
func (w *network) append() {
	r := uint64(len(w.table) + 1)
	w.table = append(w.table, &messenger.Change{
		Revision: r,
		Id:       fmt.Sprint(r),
	})
}

func (w *network) addNode(group int) {
	n := &node{
		group: group,
		state: &gossiper.State{
			Self: &messenger.Member{
				Instance:    fmt.Sprintf("r%d", len(w.nodes)),
				Incarnation: 1,
			},
			Term:      term,
			StartedAt: w.now,
		},
	}
	// A new node reads the other nodes of its group from the platform's list.
	for _, other := range w.nodes {
		if other.group == group {
			n.state.UpdateListed(w.now, []*messenger.Member{other.state.Self})
		}
	}
	w.nodes = append(w.nodes, n)
}

// connected reports whether two nodes can exchange messages now.
func (w *network) connected(a, b *node) bool {
	return a.group == b.group && !a.paused && !b.paused
}

// delay returns a message's delay: usually zero, sometimes longer than a term.
func (w *network) delay() time.Duration {
	if w.random.IntN(20) > 0 {
		return 0
	}
	return time.Duration(w.random.Int64N(int64(2 * term)))
}

// send runs handle at the node, at once or after a delay.
func (w *network) send(to *node, handle func()) {
	m := message{
		due:    w.now.Add(w.delay()),
		handle: handle,
	}
	if m.due.After(w.now) || to.paused {
		to.inbox = append(to.inbox, m)
		return
	}
	handle()
}

// exchange runs one exchange, each message of which may be delayed.
func (w *network) exchange(a, b *node) {
	sent := w.now
	request := a.state.Request(w.now, b.state.Revision())
	w.send(b, func() {
		reply := b.state.HandleRequest(w.now, request)
		w.send(a, func() { a.state.HandleReply(sent, w.now, reply) })
	})
}

// readTable reads the table, whose response may be delayed.
func (w *network) readTable(n *node) {
	sent := w.now
	head := identifier.Revision(len(w.table))
	changes := w.table[min(int(n.state.Revision()), len(w.table)):]
	w.send(n, func() {
		n.state.Apply(changes)
		n.state.RecordTableRead(sent, head)
	})
}

// tick advances the time by one interval: every node that is not paused handles
// the messages that are due and exchanges with one peer.
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
	w.updateAcceptance()
	w.checkInvariants()
}

// readList reads the platform's list in one of ten calls on average. The list
// includes a node from one second after its start. Only the nodes of group 0
// reach the platform.
func (w *network) readList(n *node) {
	if n.group != 0 || w.random.IntN(10) > 0 {
		return
	}
	var listed []*messenger.Member
	for _, other := range w.nodes {
		if w.now.Sub(other.state.StartedAt) > time.Second && !other.unlisted {
			listed = append(listed, other.state.Self)
		}
	}
	n.state.UpdateListed(w.now, listed)
}

// deliver handles the messages in the node's inbox that are due.
func (w *network) deliver(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		if m.due.After(w.now) {
			n.inbox = append(n.inbox, m)
			continue
		}
		m.handle()
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

// gossip exchanges with a random peer, or suspects the peer if it is not
// connected.
func (w *network) gossip(n *node) {
	members := n.state.Members()
	if len(members) == 0 {
		return
	}
	peer := w.find(members[w.random.IntN(len(members))])
	if suspects := n.state.Suspects(); len(suspects) > 0 && w.random.IntN(4) == 0 {
		peer = w.find(suspects[w.random.IntN(len(suspects))])
	}
	if w.connected(n, peer) {
		w.exchange(n, peer)
		return
	}
	n.state.Suspect(w.now, peer.state.Self.GetInstance())
}

// updateAcceptance asks the nodes that have not replied with the last commit, and
// records the commit's revision once it is accepted.
func (w *network) updateAcceptance() {
	if w.acceptance == nil || w.committer.paused {
		return
	}
	w.acceptance.AddMembers(w.committer.state.Members())
	for _, m := range w.acceptance.Pending() {
		peer := w.find(m)
		if peer == nil || !w.connected(w.committer, peer) {
			continue
		}
		w.acceptance.RecordReply(w.now, peer.state.HandleRequest(w.now, w.committer.state.Request(w.now, peer.state.Revision())))
	}
	if ok, _ := w.acceptance.Accepted(w.now); ok && w.committer.state.KnowsAllMembers() {
		w.accepted = max(w.accepted, w.acceptance.Revision)
		w.acceptance = nil
	}
}

// checkInvariants checks that no node goes back to a lower revision and that none
// acts on a revision older than the accepted one.
func (w *network) checkInvariants() {
	for _, n := range w.nodes {
		r := n.state.Revision()
		if r < n.lastRevision {
			w.t.Fatalf("%s went from revision %d back to %d", n.state.Self.GetInstance(), n.lastRevision, r)
		}
		n.lastRevision = r
		if n.state.Confirmed(w.now) && r < w.accepted {
			w.t.Fatalf("%s acts on revision %d after revision %d was accepted", n.state.Self.GetInstance(), r, w.accepted)
		}
	}
}

func (w *network) drawNode(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

// commit commits a change at n, which then tracks its acceptance.
func (w *network) commit(n *node) {
	w.append()
	n.state.Apply(w.table[n.state.Revision():])
	w.committer = n
	w.acceptance = &gossiper.Acceptance{
		Revision: identifier.Revision(len(w.table)),
		Term:     term,
		Since:    w.now,
	}
}

// oldest returns a node that is in the network from the start.
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
			n := w.drawNode(t)
			if w.tableUp && n.group == 0 && !n.paused && w.acceptance == nil {
				w.commit(n)
			}
		},
		"pause":  func(t *rapid.T) { w.drawNode(t).paused = true },
		"resume": func(t *rapid.T) { w.drawNode(t).paused = false },
		"move":   func(t *rapid.T) { w.drawNode(t).group = rapid.IntRange(0, 2).Draw(t, "group") },
		"heal": func(*rapid.T) {
			for _, n := range w.nodes {
				n.group, n.paused = 0, false
			}
		},
		"outage": func(t *rapid.T) { w.tableUp = rapid.Bool().Draw(t, "up") },
		"join": func(t *rapid.T) {
			if len(w.nodes) < maxNodes {
				w.addNode(rapid.IntRange(0, 2).Draw(t, "group"))
			}
		},
	}
}

// TestNoOlderRevisionAfterAcceptance runs instances through pauses, network
// partitions, table outages, delayed messages and new instances. It checks that
// no instance acts on an older revision once a revision is accepted, and that
// none ever goes back to a lower one.
func TestNoOlderRevisionAfterAcceptance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawNetwork(t)
		t.Repeat(w.actions())
	})
}

// TestRecoveryAfterFaults checks that a change is accepted, and that every
// instance is confirmed, within 9 s after all faults have ended.
func TestRecoveryAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawNetwork(t)
		t.Repeat(w.actions())
		actions := w.actions()
		actions["heal"](t)
		w.tableUp = true
		w.acceptance = nil
		// Messages that were sent during the faults arrive first.
		for range 2 * term / interval {
			w.tick()
		}
		n := w.oldest()
		w.commit(n)
		for range 9 * time.Second / interval {
			w.tick()
		}
		if w.accepted < identifier.Revision(len(w.table)) {
			_, waiting := w.acceptance.Accepted(w.now)
			t.Fatalf("revision %d is not accepted 9 s after the faults ended; waiting for %v", len(w.table), waiting)
		}
		for _, n := range w.nodes {
			if !n.state.Confirmed(w.now) {
				t.Fatalf("%s is not confirmed 9 s after the faults ended", n.state.Self.GetInstance())
			}
		}
	})
}

// TestIsolatedInstanceAndNewInstances cuts one instance off and starts new
// instances that reach only it and not the table. A change may be accepted
// without them, though not if a delayed message makes the new instances known to
// the others. Once it is accepted, they must not confirm each other on the old
// revision.
func TestIsolatedInstanceAndNewInstances(t *testing.T) {
	accepted := 0
	for seed := range uint64(50) {
		w := newNetwork(t, seed)
		w.nodes[3].group = 1
		w.addNode(1)
		w.nodes[4].unlisted = true
		w.commit(w.nodes[0])
		for i := range 30 * time.Second / interval {
			w.tick()
			if i == 40 {
				w.addNode(1)
				w.nodes[5].unlisted = true
			}
		}
		if w.accepted == 2 {
			accepted++
		}
	}
	if accepted == 0 {
		t.Error("got no change accepted without the isolated instance, want some")
	}
}

// TestDelayedReply checks that the term of a delayed reply starts when its request
// was sent, not when the reply arrives.
func TestDelayedReply(t *testing.T) {
	w := newNetwork(t, 1)
	a, b := w.nodes[0], w.nodes[1]
	sent := w.now
	reply := b.state.HandleRequest(w.now, a.state.Request(w.now, 0))
	w.now = w.now.Add(3 * term)
	a.state.HandleReply(sent, w.now, reply)
	if a.state.Confirmed(w.now) {
		t.Error("got confirmed by the reply to a request that was sent three terms ago")
	}
}
