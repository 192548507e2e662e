package quarantiner_test

import (
	"fmt"
	"testing"

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
