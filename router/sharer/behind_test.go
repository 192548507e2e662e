package sharer_test

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/sharer"
)

// repliesInTurn answers each read with the next reply.
type repliesInTurn struct {
	replies []*messenger.ReadReply
}

func (p *repliesInTurn) Read(context.Context, string, *messenger.ReadRequest) (*messenger.ReadReply, error) {
	reply := p.replies[0]
	p.replies = p.replies[1:]
	return reply, nil
}

// newFollower returns a sharer that gets the replies from its reader, and no answer
// from the store.
func newFollower(log logrus.FieldLogger, replies ...*messenger.ReadReply) *sharer.Sharer {
	pub := publisher.New()
	pub.Publish(&publisher.View{
		Readers: []identifier.Instance{"reader"},
		Peers:   map[identifier.Instance]string{"reader": "reader"},
	})
	return &sharer.Sharer{
		Self:      "self",
		Store:     downStore{},
		Peers:     &repliesInTurn{replies: replies},
		Publisher: pub,
		MaxAge:    map[string]time.Duration{tableName: newsAge},
		Log:       log,
	}
}

// TestReaderBehindFollower guards against a follower that reads the whole table from a
// reader that is behind it: what had left would be in use again.
func TestReaderBehindFollower(t *testing.T) {
	log, _ := test.NewNullLogger()
	s := newFollower(log, &messenger.ReadReply{Version: 5}, &messenger.ReadReply{Version: 4})
	if _, err := s.Rows(t.Context(), tableName); err != nil {
		t.Fatal(err)
	}
	if page, err := s.Rows(t.Context(), tableName); err == nil {
		t.Errorf("version after 5: got %d, want an error", page.Version)
	}
}

// TestInvalidReplyNotLogged guards against an invalid reply that is taken, or set aside
// without a line in the log.
func TestInvalidReplyNotLogged(t *testing.T) {
	for name, reply := range map[string]*messenger.ReadReply{
		"age below 0":               {AgeMs: -1},
		"no history of whole table": {HistoryDropped: true},
	} {
		t.Run(name, func(t *testing.T) {
			log, hook := test.NewNullLogger()
			s := newFollower(log, reply)
			page, err := s.Rows(t.Context(), tableName)
			if err == nil {
				t.Errorf("got version %d, want an error", page.Version)
			}
			if got, want := len(hook.Entries), 1; got != want {
				t.Errorf("lines: got %d, want %d", got, want)
			}
		})
	}
}

var _ sharer.Store = (*sharer.Sharer)(nil)
