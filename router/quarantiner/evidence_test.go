package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/quarantiner"
)

// crashBeside makes one endpoint crash under each of the given requests.
func (f *fleet) crashBeside(at identifier.Instance, requests ...[]quarantiner.Key) {
	f.crashes++
	for _, keys := range requests {
		f.instances[at].RecordCrash(f.now, incarnation(f.crashes), keys)
	}
}

// TestPartSparedBesideRepeatedSoundRequests guards against a part that is not condemned for
// three crashes under three requests because a sound request, which was repeated, ran beside two.
func TestPartSparedBesideRepeatedSoundRequests(t *testing.T) {
	f := newFleet(3)
	sound := []quarantiner.Key{requestKey("sound"), first}
	for i := range 3 {
		requests := [][]quarantiner.Key{{requestKey(fmt.Sprint("r", i)), first, bad}}
		if i < 2 {
			requests = append(requests, sound)
		}
		f.crashBeside("i0", requests...)
	}
	f.instances["i1"].RecordAnswer(f.now, []quarantiner.Key{first})
	f.exchangeAll()
	f.now = f.now.Add(settled)
	for _, name := range f.names {
		if v := f.instances[name].Verdicts(f.now)[bad]; !v.Condemned {
			t.Errorf("%s: got verdict %+v on the part, want it condemned", name, v)
		}
	}
}

// TestTestWithoutResultRepeatedAtOnce guards against tests of a condemned part that follow each
// other at once because the endpoints refuse them or their callers leave.
func TestTestWithoutResultRepeatedAtOnce(t *testing.T) {
	f := newFleet(1)
	for range 4 {
		f.crash("i0", bad)
	}
	f.now = f.now.Add(time.Hour)
	sent := 0
	for range 100 {
		if pass, _ := f.instances["i0"].Admit(f.now, []quarantiner.Key{bad}); pass != nil {
			pass.RecordSent(f.now)
			pass.End()
			sent++
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	if sent != 1 {
		t.Errorf("got %d tests of the condemned part within 10 s, want 1", sent)
	}
}

// TestPartTestedOftenAfterFiveCrashes guards against tests of a part that add up in the hours
// after its fifth crash.
func TestPartTestedOftenAfterFiveCrashes(t *testing.T) {
	f := newFleet(3)
	for i := range 5 {
		f.crash("i0", requestKey(fmt.Sprint("r", i/2)), bad)
	}
	f.exchangeAll()
	sent := 0
	for i := range 2 * 3600 {
		f.now = f.now.Add(time.Second)
		if f.send(f.names[i%len(f.names)], bad) {
			sent++
			f.exchangeAll()
		}
	}
	if sent > 3 {
		t.Errorf("got %d requests with the part sent within two hours after its fifth crash, want at most 3", sent)
	}
}

// TestExchangesGrowWithSuspects guards against exchanges that need more than a node may spend on
// control because each crash ends many requests that may be its cause.
func TestExchangesGrowWithSuspects(t *testing.T) {
	const (
		// nodeBytesPerSecond is what a node may spend on control, and period the time of the test.
		nodeBytesPerSecond = 19000
		period             = 20 * time.Second
		interval           = 100 * time.Millisecond
	)
	f := newFleet(9)
	bytes, round := 0, 0
	for start := f.now; f.now.Sub(start) < period; f.now = f.now.Add(interval) {
		if round%40 == 0 {
			var requests [][]quarantiner.Key
			for i := range 30 {
				requests = append(requests, []quarantiner.Key{requestKey(fmt.Sprintf("%032x", 1000*round+i)), partKey(fmt.Sprintf("%012x", i))})
			}
			f.crashBeside(f.names[round%9], requests...)
		}
		for i, from := range f.names {
			to := f.names[(i+1+round%8)%9]
			request := f.instances[from].News(f.now, to)
			f.instances[to].Merge(f.now, copyOf(request))
			reply := f.instances[to].Reply(f.now, from, request)
			f.instances[from].Delivered(f.now, to)
			f.instances[from].Merge(f.now, copyOf(reply))
			bytes += proto.Size(request) + proto.Size(reply)
		}
		round++
	}
	if got, want := bytes/9/int(period/time.Second), nodeBytesPerSecond; got > want {
		t.Errorf("got %d bytes a second and node, want at most %d", got, want)
	}
}

// TestChangeSentToWholeFleetByEach guards against a change that each instance of a large fleet sends to
// each other one, and requires that all know it within some rounds of exchanges.
func TestChangeSentToWholeFleetByEach(t *testing.T) {
	const (
		instances = 90
		rounds    = 20
		// maxSends is how often an instance may send one change, on average.
		maxSends = 10
	)
	f := newFleet(instances)
	f.crash("i0", deadly)
	sends := 0
	for round := range rounds {
		for i, from := range f.names {
			to := f.names[(i+1+round*7)%instances]
			request := copyOf(f.instances[from].News(f.now, to))
			f.instances[to].Merge(f.now, request)
			f.instances[from].Delivered(f.now, to)
			reply := copyOf(f.instances[to].Reply(f.now, from, request))
			f.instances[from].Merge(f.now, reply)
			sends += len(request.GetParts()) + len(reply.GetParts())
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	for _, name := range f.names {
		if _, refusal := f.instances[name].Admit(f.now, []quarantiner.Key{deadly}); refusal == nil {
			t.Errorf("%s does not know of the crash after %d rounds", name, rounds)
		}
	}
	if got, want := sends/instances, maxSends; got > want {
		t.Errorf("got a change sent %d times by each instance, want at most %d", got, want)
	}
}

// TestSecondKeyHoldsRequestTwice guards against claims that wait for each other, or are lost, where
// two keys name one request.
func TestSecondKeyHoldsRequestTwice(t *testing.T) {
	keys := []quarantiner.Key{requestKey("with the query"), requestKey("without")}
	f := newFleet(3)
	f.crash("i0", keys...)
	f.exchangeAll()
	for _, name := range f.names {
		start := f.now
		pass, refusal := f.instances[name].Admit(f.now, keys)
		for ; pass == nil; pass, refusal = f.instances[name].Admit(f.now, keys) {
			if refusal.Hold <= 0 || f.now.Sub(start) > maxHold/2 {
				t.Fatalf("%s: got refusal %+v after %v, want a pass", name, refusal, f.now.Sub(start))
			}
			f.now = f.now.Add(tick)
			f.exchangeAll()
		}
		pass.End()
		f.exchangeAll()
	}
}
