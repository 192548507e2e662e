package sharer_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/faker"
	"heatherhold.dev/router/publisher"
	"heatherhold.dev/router/sharer"
)

// toReader passes reads on to the reader.
type toReader struct {
	reader *sharer.Sharer
}

func (p toReader) Read(ctx context.Context, _ string, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	return p.reader.Handle(ctx, r), nil
}

// TestCopyOfRestoredStoreRefused guards against a reader and a follower whose copies stay
// those of the lost history until the store's counter has passed them.
func TestCopyOfRestoredStoreRefused(t *testing.T) {
	store, client := faker.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pub := publisher.New()
	pub.Publish(&publisher.View{
		Readers: []identifier.Instance{"reader"},
		Peers:   map[identifier.Instance]string{"reader": "reader"},
	})
	newSharer := func(self identifier.Instance) *sharer.Sharer {
		return &sharer.Sharer{
			Self:      self,
			Store:     client,
			Publisher: pub,
			MaxAge:    map[string]time.Duration{tableName: newsAge},
			Log:       log,
		}
	}
	reader, follower := newSharer("reader"), newSharer("follower")
	follower.Peers = toReader{reader: reader}
	store.Write(tableName, "e1", "1")
	old := store.Version()
	store.Write(tableName, "e2", "1")
	store.Write(tableName, "e3", "1")
	for _, s := range []*sharer.Sharer{reader, follower} {
		if _, err := s.Rows(t.Context(), tableName); err != nil {
			t.Fatal(err)
		}
	}
	store.Restore(old)
	store.Write(tableName, "e4", "1")
	if _, err := reader.Rows(t.Context(), tableName); err != nil {
		t.Fatal(err)
	}
	page, err := follower.Rows(t.Context(), tableName)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(page.Rows), 2; got != want {
		t.Errorf("rows of the follower: got %d, want %d", got, want)
	}
	if got, want := store.Calls("/rows-get"), 2; got != want {
		t.Errorf("whole reads at the store: got %d, want %d, those of the reader", got, want)
	}
}
