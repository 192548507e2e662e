package quarantiner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"heatherhold.dev/router/quarantiner"
)

// crowd makes requests of which each has many parts that no other one has.
type crowd struct {
	parts int
	next  int
}

// request returns the keys of the next request: the given ones behind all others.
func (c *crowd) request(last ...quarantiner.Key) []quarantiner.Key {
	var keys []quarantiner.Key
	for range c.parts {
		c.next++
		keys = append(keys, partKey(fmt.Sprintf("%08x", c.next)))
	}
	return append(keys, last...)
}

// heapBytes returns the memory in use.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestCrowdPushesOutCrashingPart guards against forgetting, or not telling the others of, a part that
// crashes endpoints because each request beside it, and each that an endpoint takes with it, has a
// thousand parts of its own.
func TestCrowdPushesOutCrashingPart(t *testing.T) {
	const (
		rounds = 40
		// answers is how many requests each instance has answered between two crashes, and beside how
		// many others an endpoint takes with it there.
		answers = 12
		beside  = 3
		// maxBytes is what the records of an instance may take.
		maxBytes = 16 << 20
	)
	for _, n := range []int{3, 9} {
		t.Run(fmt.Sprint(n, " instances"), func(t *testing.T) {
			f := newFleet(n)
			c := &crowd{parts: 1000}
			before := heapBytes()
			sent, refused := 0, 0
			for round := range rounds {
				for _, name := range f.names {
					for range answers {
						f.instances[name].RecordAnswer(f.now, c.request(first))
					}
				}
				at := f.names[round%n]
				keys := c.request(first, bad)
				if pass, refusal := f.instances[at].Admit(f.now, keys); refusal == nil {
					sent++
					f.crashes++
					f.instances[at].RecordCrash(f.now, incarnation(f.crashes), keys)
					pass.End()
					for _, name := range f.names {
						for range beside {
							f.instances[name].RecordCrash(f.now, incarnation(f.crashes), c.request(first))
						}
					}
				}
				for range 7 {
					f.now = f.now.Add(100 * time.Millisecond)
					f.exchangeAll()
				}
				for _, name := range f.names {
					if !f.send(name, c.request(first)...) {
						refused++
					}
				}
			}
			if sent > maxArrivals {
				t.Errorf("got %d requests with the bad part sent, want at most %d", sent, maxArrivals)
			}
			if refused > 0 {
				t.Errorf("got %d sound requests refused, want none", refused)
			}
			if got := int64(heapBytes()-before) / int64(n); got > maxBytes {
				t.Errorf("got %d bytes of records an instance, want at most %d", got, maxBytes)
			}
			runtime.KeepAlive(f)
		})
	}
}

// TestPartBehindOthersSeenOncePerInstance guards against knowing a part behind many others only where it has
// crashed two endpoints: here each request with it comes at another instance and crashes one.
func TestPartBehindOthersSeenOncePerInstance(t *testing.T) {
	f := newFleet(9)
	c := &crowd{parts: 100}
	sent := 0
	for round := range 27 {
		keys := c.request(first, bad)
		if f.send(f.names[round%9], keys...) {
			sent++
		}
		for range 5 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.exchangeAll()
		}
		if !f.send(f.names[(round+4)%9], c.request(first)...) {
			t.Errorf("round %d: a sound request was refused", round)
		}
	}
	if sent > maxArrivals {
		t.Errorf("got %d requests with the bad part sent, want at most %d", sent, maxArrivals)
	}
}

// TestSharedPartsBehindOthersSuspected guards against refusing sound requests because parts that they share
// stand behind many others in requests that crash endpoints.
func TestSharedPartsBehindOthersSuspected(t *testing.T) {
	f := newFleet(3)
	var shared []quarantiner.Key
	for i := range 300 {
		shared = append(shared, partKey(fmt.Sprintf("shared%d", i)))
	}
	for round := range 12 {
		at := f.names[round%3]
		f.send(at, append(shared[:len(shared):len(shared)], bad)...)
		f.now = f.now.Add(settled)
		f.exchangeAll()
		for _, name := range f.names {
			if !f.send(name, shared...) {
				t.Errorf("round %d: a sound request was refused", round)
			}
		}
	}
}

// TestLostNewsOfManyParts requires that parts which did not fit into one message to a peer, or were in one that
// was lost, are in a later one.
func TestLostNewsOfManyParts(t *testing.T) {
	const parts = 3000
	f := newFleet(2)
	c := &crowd{parts: parts}
	keys := c.request()
	f.crash("i0", keys...)
	f.instances["i0"].News(f.now, "i1")
	f.crash("i0", keys...)
	for range 40 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.exchange("i0", "i1")
	}
	got := len(f.instances["i1"].Verdicts(f.now))
	if got != parts {
		t.Errorf("got %d parts known at the peer, want %d", got, parts)
	}
}

// TestSightingsBounded requires that the parts under which one endpoint crashed take a bounded memory, and that
// those of the last crash push older ones out.
func TestSightingsBounded(t *testing.T) {
	const maxBytes = 24 << 20
	f := newFleet(1)
	c := &crowd{parts: 4000}
	before := heapBytes()
	for range 100 {
		f.crash("i0", c.request()...)
		f.now = f.now.Add(time.Second)
	}
	if got := int64(heapBytes() - before); got > maxBytes {
		t.Errorf("got %d bytes of records, want at most %d", got, maxBytes)
	}
	f.crash("i0", c.request(bad)...)
	f.crash("i0", c.request(bad)...)
	f.now = f.now.Add(settled)
	if _, ok := f.instances["i0"].Verdicts(f.now)[bad]; !ok {
		t.Error("got no verdict on a part that crashed two endpoints")
	}
	if f.instances["i0"].Forgotten() == 0 {
		t.Error("got nothing counted as forgotten")
	}
}
