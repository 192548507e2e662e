package acquirer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/messenger"
)

// agedAsk returns ask as it is sent when age has passed since its promise was true: the times
// of the promise count from when the message is sent. The ask itself is not changed, since
// the owner of an earlier message may still read it.
func agedAsk(ask *messenger.Ask, age time.Duration) *messenger.Ask {
	passed := age.Milliseconds()
	if ask.GetPromise() == nil || passed <= 0 {
		return ask
	}
	aged := proto.CloneOf(ask)
	aged.Promise.FirstTokenMs -= passed
	aged.Promise.RemainingMs -= passed
	if aged.Promise.PatienceMs != nil {
		*aged.Promise.PatienceMs -= passed
	}
	return aged
}
