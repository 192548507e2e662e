package sharer_test

import (
	"testing"
	"time"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/platform/storer"
	"heatherhold.dev/router/sharer"
)

// page returns a page of one row, read at the given time.
func page(key string, version storer.Version, deleted bool, at time.Time) storer.Page {
	return storer.Page{
		Version: version,
		ReadAt:  at,
		Rows: []storer.Row{{
			Key:     key,
			Version: version,
			Deleted: deleted,
		}},
	}
}

// TestGapInCopyPassedOn guards against a copy that lacks a change and is passed on.
func TestGapInCopyPassedOn(t *testing.T) {
	now := time.Unix(100, 0)
	var c sharer.Copy
	c.Replace(page("e1", 3, false, now))
	c.Apply(storer.Position{Version: 5}, page("e2", 6, false, now))
	reply := c.Reply(now, newsAge, &messenger.ReadRequest{Whole: true}, true)
	if got, want := reply.GetUnavailable(), true; got != want {
		t.Errorf("unavailable: got %v, want %v", got, want)
	}
}

// TestOlderTableReplacesCopy guards against a copy that goes back when another
// instance's older table arrives late: what had left would be in use again.
func TestOlderTableReplacesCopy(t *testing.T) {
	now := time.Unix(100, 0)
	var c sharer.Copy
	c.Replace(page("e1", 3, false, now))
	c.Apply(storer.Position{Version: 3}, page("e1", 4, true, now))
	c.Replace(page("e1", 3, false, now.Add(time.Second)))
	reply := c.Reply(now, newsAge, &messenger.ReadRequest{Whole: true}, true)
	if got, want := len(reply.GetRows()), 0; got != want {
		t.Errorf("rows: got %d, want %d", got, want)
	}
	if got, want := reply.GetVersion(), uint64(4); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

// TestOldCopyPassedOn guards against news that is passed on although it is too old, or
// although the store has failed since.
func TestOldCopyPassedOn(t *testing.T) {
	now := time.Unix(100, 0)
	var c sharer.Copy
	c.Replace(page("e1", 3, false, now))
	whole := &messenger.ReadRequest{Whole: true}
	for _, test := range []struct {
		at   time.Time
		want bool
	}{{now, false}, {now.Add(newsAge), false}, {now.Add(newsAge + time.Millisecond), true}} {
		if got := c.Reply(test.at, newsAge, whole, true).GetUnavailable(); got != test.want {
			t.Errorf("unavailable after %v: got %v, want %v", test.at.Sub(now), got, test.want)
		}
	}
	c.Fail(now)
	if got, want := c.Reply(now, newsAge, whole, true).GetUnavailable(), true; got != want {
		t.Errorf("unavailable after a failure: got %v, want %v", got, want)
	}
}
