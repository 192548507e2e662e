package sharer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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

// encodedReader answers with the reader's reply after it was encoded and decoded, as between
// two processes.
type encodedReader struct {
	reader *sharer.Sharer
}

func (p encodedReader) Read(ctx context.Context, _ string, r *messenger.ReadRequest) (*messenger.ReadReply, error) {
	data, err := proto.Marshal(p.reader.Handle(ctx, r))
	if err != nil {
		return nil, err
	}
	var reply messenger.ReadReply
	return &reply, proto.Unmarshal(data, &reply)
}

// TestOddRowNotPassedOn guards against followers that get no copy of a table because one of its
// rows cannot be encoded: its key is not UTF-8, or its value is none or long.
func TestOddRowNotPassedOn(t *testing.T) {
	const rows = `{"key":"a","value":"MQ==","ver":1},{"key":"` + "\xff\xfe" + `","value":"MQ==","ver":2},{"key":"\ud800","value":{"a":[]},"ver":3},{"key":"long","value":"%s","ver":4},{"key":"z","value":"Mg==","ver":5}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"rows":[`+rows+`],"ver":9,"now_ms":5}`, strings.Repeat("MTEx", 1<<18))
	}))
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pub := publisher.New()
	pub.Publish(&publisher.View{
		Readers: []identifier.Instance{"reader"},
		Peers:   map[identifier.Instance]string{"reader": "reader"},
	})
	newSharer := func(self identifier.Instance, store sharer.Store, peers sharer.Peers) *sharer.Sharer {
		return &sharer.Sharer{
			Self:      self,
			Store:     store,
			Peers:     peers,
			Publisher: pub,
			MaxAge:    map[string]time.Duration{tableName: newsAge},
			Log:       log,
		}
	}
	reader := newSharer("reader", &storer.Client{
		Address: strings.TrimPrefix(server.URL, "http://"),
		Timeout: 5 * time.Second,
	}, nil)
	if _, err := reader.Rows(t.Context(), tableName); err != nil {
		t.Fatal(err)
	}
	follower := newSharer("follower", downStore{}, encodedReader{reader: reader})
	page, err := follower.Rows(t.Context(), tableName)
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]string)
	for _, r := range page.Rows {
		values[r.Key] = string(r.Value)
	}
	if values["a"] != "1" || values["z"] != "2" || len(values["long"]) != 3<<18 {
		t.Errorf("got %d rows, the sound ones with the values %q and %q, want 1 and 2", len(page.Rows), values["a"], values["z"])
	}
}
