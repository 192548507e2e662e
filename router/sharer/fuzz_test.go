package sharer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/sharer"
)

// fixedPeer answers every read with the same reply.
type fixedPeer struct {
	reply *messenger.ReadReply
}

func (p fixedPeer) Read(context.Context, string, *messenger.ReadRequest) (*messenger.ReadReply, error) {
	return p.reply, nil
}

// downStore fails every call.
type downStore struct{}

func (downStore) Rows(context.Context, string) (storer.Page, error) {
	return storer.Page{}, errDown
}

func (downStore) Feed(context.Context, string, storer.Position, time.Duration) (storer.Page, error) {
	return storer.Page{}, errDown
}

// FuzzReply reads from an instance that sends any reply: what is taken from it is
// never from the future or too old, and it can be passed on.
func FuzzReply(f *testing.F) {
	for _, r := range []*messenger.ReadReply{
		{Version: 3, AgeMs: 10, Rows: []*messenger.TableRow{{Key: "e1", Version: 2}}},
		{Version: 3, AgeMs: -10},
		{HistoryDropped: true},
		{FailureAgeMs: 1 << 62, AgeMs: 1 << 62},
	} {
		data, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply messenger.ReadReply
		if proto.Unmarshal(data, &reply) != nil {
			t.Skip("not a message")
		}
		pub := publisher.New()
		pub.Publish(&publisher.View{
			Readers: []identifier.Instance{"reader"},
			Peers:   map[identifier.Instance]string{"reader": "reader"},
		})
		s := &sharer.Sharer{
			Self:      "self",
			Store:     downStore{},
			Peers:     fixedPeer{reply: &reply},
			Publisher: pub,
			MaxAge:    map[string]time.Duration{tableName: newsAge},
			Log:       log,
		}
		before := time.Now()
		page, err := s.Rows(t.Context(), tableName)
		if err != nil {
			return
		}
		if page.ReadAt.After(time.Now()) || before.Sub(page.ReadAt) > newsAge {
			t.Errorf("age of news: got %v, want 0 to %v", before.Sub(page.ReadAt), newsAge)
		}
		s.Handle(t.Context(), &messenger.ReadRequest{
			Table: tableName,
			Whole: true,
		})
	})
}
