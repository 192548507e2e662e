package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/router/quarantiner"
)

var deadly = requestKey("deadly")

const (
	// maxLostToRequest is how many endpoints may end under one request.
	maxLostToRequest = 3
	// tick is the step of the simulated time.
	tick = 20 * time.Millisecond
	// maxHold is how long an instance holds a request.
	maxHold = time.Second
)

func requestKey(name string) quarantiner.Key {
	return quarantiner.RequestKey(identifier.Fingerprint(name))
}

// arrival is a request that is held at an instance, or runs at an endpoint.
type arrival struct {
	at    identifier.Instance
	until time.Time
	pass  *quarantiner.Pass
	// ends is when its endpoint crashes, once it runs.
	ends time.Time
}

// advance lets a tick pass for the arrivals: those that may be sent run for the given time
// and then crash an endpoint. It returns those that are left, and how many were sent.
func (f *fleet) advance(arrivals []*arrival, run time.Duration, keys ...quarantiner.Key) (left []*arrival, sent int) {
	f.now = f.now.Add(tick)
	for _, a := range arrivals {
		if a.pass == nil {
			pass, refusal := f.instances[a.at].Admit(f.now, keys)
			if refusal != nil && (refusal.Hold <= 0 || f.now.After(a.until)) {
				continue
			}
			if refusal == nil {
				a.pass = pass
				a.ends = f.now.Add(run)
				sent++
			}
		}
		if a.pass != nil && !f.now.Before(a.ends) {
			f.crash(a.at, keys...)
			a.pass.End()
			continue
		}
		left = append(left, a)
	}
	return left, sent
}

// TestRequestSentByInstancesAtOnce guards against instances that each send a request on
// while the endpoint of another one crashes under it. It comes a few times a second, at
// drawn instances, after a first crash that all have heard of.
func TestRequestSentByInstancesAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 9).Draw(t, "instances"))
		instance := rapid.SampledFrom(f.names)
		run := time.Duration(rapid.IntRange(2, 20).Draw(t, "run")) * tick
		period := rapid.IntRange(3, 7).Draw(t, "ticks between exchanges")
		f.crash(instance.Draw(t, "first"), deadly)
		f.exchangeAll()
		var arrivals []*arrival
		for i := range 400 {
			if rapid.IntRange(0, 6).Draw(t, "arrives") == 0 {
				arrivals = append(arrivals, &arrival{
					at:    instance.Draw(t, "instance"),
					until: f.now.Add(maxHold),
				})
			}
			arrivals, _ = f.advance(arrivals, run, deadly)
			if i%period == 0 {
				f.exchangeAll()
			}
		}
		if f.crashes > maxLostToRequest {
			t.Errorf("got %d endpoints ended under one request, want at most %d", f.crashes, maxLostToRequest)
		}
	})
}

// TestCondemnedRequestTestedOften guards against tests of a condemned request that add up.
func TestCondemnedRequestTestedOften(t *testing.T) {
	f := newFleet(5)
	for range 3 {
		f.crash("i0", deadly)
	}
	f.exchangeAll()
	total := 0
	for minute := range 24 * 60 {
		f.now = f.now.Add(time.Minute)
		arrivals := []*arrival{{
			at:    f.names[minute%len(f.names)],
			until: f.now.Add(maxHold),
		}}
		for range 2 * maxHold / tick {
			var sent int
			arrivals, sent = f.advance(arrivals, tick, deadly)
			total += sent
		}
		f.exchangeAll()
	}
	if total > 3 {
		t.Errorf("got the condemned request sent %d times within a day, want at most 3", total)
	}
}

// TestHotRequestHeldInOutages guards against refusing a request that many callers send
// because a data centre lost power three times: it is answered meanwhile.
func TestHotRequestHeldInOutages(t *testing.T) {
	hot := requestKey("hot")
	f := newFleet(5)
	for range 3 {
		for range 4 {
			f.instances["i1"].RecordAnswer(f.now, []quarantiner.Key{hot})
			f.now = f.now.Add(time.Second)
		}
		for i := range 6 {
			f.crash(f.names[i%5], hot)
		}
		f.exchangeAll()
		for _, name := range f.names {
			if _, refusal := f.instances[name].Admit(f.now, []quarantiner.Key{hot}); refusal != nil {
				t.Errorf("%s: got refusal %+v of a request that is answered, want none", name, refusal)
			}
		}
	}
}

// TestSoundRequestRefusedAfterCrash guards against holding a sound request for longer than a
// second because it ran when an endpoint crashed, also where two did.
func TestSoundRequestRefusedAfterCrash(t *testing.T) {
	for crashes := 1; crashes <= 2; crashes++ {
		sound := requestKey("sound")
		f := newFleet(9)
		for range crashes {
			f.crash("i3", sound)
		}
		f.exchangeAll()
		start := f.now
		for {
			pass, refusal := f.instances["i3"].Admit(f.now, []quarantiner.Key{sound})
			if refusal == nil {
				f.instances["i3"].RecordAnswer(f.now, []quarantiner.Key{sound})
				pass.End()
				break
			}
			if refusal.Hold <= 0 || f.now.Sub(start) > maxHold {
				t.Fatalf("got refusal %+v %v after %d crashes, want none after %v", refusal, f.now.Sub(start), crashes, maxHold)
			}
			f.now = f.now.Add(tick)
			f.exchangeAll()
		}
		f.exchangeAll()
		for _, name := range f.names {
			if _, refusal := f.instances[name].Admit(f.now, []quarantiner.Key{sound}); refusal != nil {
				t.Errorf("%s: got refusal %+v of a request that was answered after its crashes, want none", name, refusal)
			}
		}
	}
}

// TestClaimKeptAfterItsRequest guards against refusing a sound request that ran beside a
// crash because the copy that another instance had claimed it for was given up.
func TestClaimKeptAfterItsRequest(t *testing.T) {
	sound := requestKey("sound")
	f := newFleet(9)
	f.crash("i3", sound)
	f.exchangeAll()
	first := f.awaitPass(t, "i3", sound)
	f.exchangeAll()
	if _, refusal := f.instances["i5"].Admit(f.now, []quarantiner.Key{sound}); refusal == nil {
		t.Error("another instance may send the request meanwhile")
	}
	first.End()
	f.exchangeAll()
	f.awaitPass(t, "i5", sound).End()
}

// TestClaimKeptAfterItsCallerLeft guards against refusing a sound request that ran beside a
// crash because another instance had claimed it and then did not send it.
func TestClaimKeptAfterItsCallerLeft(t *testing.T) {
	sound := requestKey("sound")
	f := newFleet(9)
	f.crash("i3", sound)
	f.exchangeAll()
	if _, refusal := f.instances["i3"].Admit(f.now, []quarantiner.Key{sound}); refusal == nil {
		t.Fatal("the request may be sent before claims of others can have arrived")
	}
	f.exchangeAll()
	f.instances["i3"].Withdraw([]quarantiner.Key{sound})
	f.exchangeAll()
	f.awaitPass(t, "i5", sound).End()
}

// TestClaimsExchangedForEver guards against claims that instances go on to tell each other as
// news: each exchange is late, and causes the next one.
func TestClaimsExchangedForEver(t *testing.T) {
	sound := requestKey("sound")
	f := newFleet(9)
	f.crash("i3", sound)
	f.exchangeAll()
	for round := range 5 {
		for i, name := range f.names {
			f.instances[name].Admit(f.now, []quarantiner.Key{sound})
			if (i+round)%2 == 0 {
				f.instances[name].Withdraw([]quarantiner.Key{sound})
			}
		}
	}
	news := 0
	for _, q := range f.instances {
		q.OnNews = func() { news++ }
	}
	const late = 50 * time.Millisecond
	for range 100 {
		for i, from := range f.names {
			request := copyOf(f.instances[from].News(f.now, f.names[(i+4)%9]))
			f.instances[f.names[(i+4)%9]].Merge(f.now.Add(late), request)
			f.instances[f.names[(i+1)%9]].Merge(f.now.Add(late), request)
		}
		f.now = f.now.Add(late)
	}
	// Each of the claims is news twice at most at each of the others.
	if limit := 5 * 9 * 8 * 2; news > limit {
		t.Errorf("got %d messages with news after 45 claims, want at most %d", news, limit)
	}
	news = 0
	for range 20 {
		f.exchangeAll()
		f.now = f.now.Add(late)
	}
	if news > 0 {
		t.Errorf("got %d messages with news later, want none", news)
	}
}

// awaitPass returns the pass for a request at an instance, which holds it for less than half
// of maxHold.
func (f *fleet) awaitPass(t *testing.T, at identifier.Instance, key quarantiner.Key) *quarantiner.Pass {
	t.Helper()
	start := f.now
	for {
		pass, refusal := f.instances[at].Admit(f.now, []quarantiner.Key{key})
		if refusal == nil {
			return pass
		}
		if refusal.Hold <= 0 || f.now.Sub(start) > maxHold/2 {
			t.Fatalf("%s: got refusal %+v after %v, want a pass", at, refusal, f.now.Sub(start))
		}
		f.now = f.now.Add(tick)
		f.exchangeAll()
	}
}

// TestPartCondemnedForOneRequest guards against condemning the parts of a prompt because one
// request with them, and no other, crashes endpoints.
func TestPartCondemnedForOneRequest(t *testing.T) {
	f := newFleet(3)
	for range 3 {
		f.crash("i0", deadly, first, bad)
	}
	f.exchangeAll()
	f.now = f.now.Add(settled)
	for _, name := range f.names {
		if _, refusal := f.instances[name].Admit(f.now, []quarantiner.Key{requestKey("other"), first, bad}); refusal != nil {
			t.Errorf("%s: got refusal %+v of another request with the same parts, want none", name, refusal)
		}
		if _, refusal := f.instances[name].Admit(f.now, []quarantiner.Key{deadly}); refusal == nil {
			t.Errorf("%s: the request that crashed three endpoints may be sent", name)
		}
	}
}

// TestPartSentOnBesideRepeats guards against a part that is never condemned because each
// request with it was sent to two endpoints.
func TestPartSentOnBesideRepeats(t *testing.T) {
	f := newFleet(3)
	for i := range 3 {
		for range 2 {
			f.crash("i0", requestKey(fmt.Sprintf("r%d", i)), first, bad)
		}
	}
	f.instances["i1"].RecordAnswer(f.now, []quarantiner.Key{first})
	f.exchangeAll()
	f.now = f.now.Add(settled)
	for _, name := range f.names {
		if _, refusal := f.instances[name].Admit(f.now, []quarantiner.Key{requestKey("other"), first, bad}); refusal == nil {
			t.Errorf("%s: a request with the part under which three others crashed endpoints may be sent", name)
		}
	}
}

// TestManyRequests requires that thousands of requests that differ in a byte neither grow
// without end nor push out a condemned one.
func TestManyRequests(t *testing.T) {
	f := newFleet(2)
	for range 3 {
		f.crash("i0", deadly)
	}
	f.now = f.now.Add(settled)
	for i := range 10000 {
		key := quarantiner.RequestKey(identifier.Fingerprint(fmt.Sprintf("%032x", i)))
		f.instances["i0"].RecordCrash(f.now, incarnation(i), []quarantiner.Key{key})
		if i%100 == 0 {
			f.instances["i0"].Admit(f.now, []quarantiner.Key{key})
		}
	}
	if _, refusal := f.instances["i0"].Admit(f.now, []quarantiner.Key{deadly}); refusal == nil {
		t.Error("the condemned request was pushed out")
	}
	if got := proto.Size(f.instances["i0"].Reply(f.now, "i1", nil)); got > 128<<10 {
		t.Errorf("got a message of %d bytes, want at most %d", got, 128<<10)
	}
}

// TestRequestKeyOnTheWire requires that the text of a key names it alone, and that a part
// can't be taken for a request.
func TestRequestKeyOnTheWire(t *testing.T) {
	for _, key := range []quarantiner.Key{deadly, bad, requestKey("")} {
		if got := quarantiner.ParseKey(key.String()); got != key {
			t.Errorf("got key %+v from the text %q, want %+v", got, key, key)
		}
	}
	if got, want := bad.String(), "bad"; got != want {
		t.Errorf("got text %q of a part, want %q, which older instances send", got, want)
	}
}
