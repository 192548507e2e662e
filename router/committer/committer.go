// Package committer stores the configuration in the platform's table: one row per
// change, and a head row whose version is the latest revision.
package committer

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"heatherhold.dev/core/identifier"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/provider"
)

// Keys in the platform's table and object store.
const (
	headKey      = "config/head"
	changePrefix = "config/change/"
	snapshotKey  = "config/snapshot"
)

// ErrConflict reports that another change was committed as the revision.
var ErrConflict = errors.New("the base revision is no longer the latest")

// Committer reads and writes the stored configuration.
type Committer struct {
	Platform provider.Platform
}

type head struct {
	ID string `json:"id"`
}

func changeKey(r identifier.Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, uint64(r))
}

// Commit writes c as the revision after its base by compare-and-set. If it returns
// provider.ErrUnavailable, the outcome is unknown; the caller resolves it by calling
// Commit again with the same change ID, which is safe.
func (t *Committer) Commit(ctx context.Context, c *messenger.Change) error {
	r := identifier.Revision(c.GetRevision())
	value, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	headValue, err := json.Marshal(head{ID: c.GetId()})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	conflicts, err := t.Platform.Commit(ctx, messenger.Commit{
		If: []messenger.Row{{
			Key:     headKey,
			Version: uint64(r) - 1,
		}},
		Put: []messenger.Row{
			{
				Key:   headKey,
				Value: headValue,
			},
			{
				Key:   changeKey(r),
				Value: value,
			},
		},
	})
	if err != nil {
		return err
	}
	if len(conflicts) == 0 {
		return nil
	}
	return t.checkStoredChange(ctx, c)
}

// checkStoredChange returns nil if the change stored as c's revision is c itself, and
// ErrConflict if it is another change.
func (t *Committer) checkStoredChange(ctx context.Context, c *messenger.Change) error {
	row, err := t.Platform.Row(ctx, changeKey(identifier.Revision(c.GetRevision())))
	if err != nil {
		return err
	}
	var stored messenger.Change
	if err := proto.Unmarshal(row.Value, &stored); err != nil {
		return errors.Wrap(err, "decode change")
	}
	if stored.GetId() != c.GetId() {
		return ErrConflict
	}
	return nil
}

// Head reads the latest revision.
func (t *Committer) Head(ctx context.Context) (identifier.Revision, error) {
	row, err := t.Platform.Row(ctx, headKey)
	return identifier.Revision(row.Version), err
}

// ChangesAfter reads the changes after revision r, in order.
func (t *Committer) ChangesAfter(ctx context.Context, r identifier.Revision) ([]*messenger.Change, error) {
	rows, err := t.Platform.Scan(ctx, changePrefix, changeKey(r))
	if err != nil {
		return nil, err
	}
	changes := make([]*messenger.Change, 0, len(rows))
	for _, row := range rows {
		c := &messenger.Change{}
		if err := proto.Unmarshal(row.Value, c); err != nil {
			return nil, errors.Wrap(err, "decode change")
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Snapshot reads the latest snapshot. It returns nil if there is none.
func (t *Committer) Snapshot(ctx context.Context) (*messenger.Change, error) {
	data, err := t.Platform.Object(ctx, snapshotKey)
	if errors.Is(err, provider.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	c := &messenger.Change{}
	return c, errors.Wrap(proto.Unmarshal(data, c), "decode snapshot")
}

// PutSnapshot stores c as the latest snapshot, so that an instance that starts has to
// read only the few changes after it.
func (t *Committer) PutSnapshot(ctx context.Context, c *messenger.Change) error {
	data, err := proto.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	return t.Platform.PutObject(ctx, snapshotKey, data)
}
