// Package committer stores the configuration on the platform: in the table, one row per
// change and a head row whose version is the latest revision; in the object store, a
// snapshot.
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

// ErrConflict reports that a different change has the revision of the given one.
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

// Commit writes change as the revision after its base by compare-and-set. If it returns
// provider.ErrUnavailable, the outcome is unknown; the caller resolves it by calling
// Commit again with the same change, which is safe.
func (c *Committer) Commit(ctx context.Context, change *messenger.Change) error {
	r := identifier.Revision(change.GetRevision())
	value, err := proto.Marshal(change)
	if err != nil {
		return errors.Wrap(err, "encode change")
	}
	headValue, err := json.Marshal(head{ID: change.GetId()})
	if err != nil {
		return errors.Wrap(err, "encode head")
	}
	conflicts, err := c.Platform.Commit(ctx, messenger.Commit{
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
	return c.checkStoredChange(ctx, change)
}

// checkStoredChange returns nil if the change that is stored with the given one's
// revision has the same ID, and ErrConflict if it is another change.
func (c *Committer) checkStoredChange(ctx context.Context, change *messenger.Change) error {
	row, err := c.Platform.Row(ctx, changeKey(identifier.Revision(change.GetRevision())))
	if err != nil {
		return err
	}
	var stored messenger.Change
	if err := proto.Unmarshal(row.Value, &stored); err != nil {
		return errors.Wrap(err, "decode change")
	}
	if stored.GetId() != change.GetId() {
		return ErrConflict
	}
	return nil
}

// Head reads the latest revision.
func (c *Committer) Head(ctx context.Context) (identifier.Revision, error) {
	row, err := c.Platform.Row(ctx, headKey)
	return identifier.Revision(row.Version), err
}

// ChangesAfter reads the changes after revision r, in order.
func (c *Committer) ChangesAfter(ctx context.Context, r identifier.Revision) ([]*messenger.Change, error) {
	rows, err := c.Platform.Scan(ctx, changePrefix, changeKey(r))
	if err != nil {
		return nil, err
	}
	changes := make([]*messenger.Change, 0, len(rows))
	for _, row := range rows {
		change := &messenger.Change{}
		if err := proto.Unmarshal(row.Value, change); err != nil {
			return nil, errors.Wrap(err, "decode change")
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Snapshot reads the latest snapshot. It returns nil if there is none.
func (c *Committer) Snapshot(ctx context.Context) (*messenger.Change, error) {
	data, err := c.Platform.Object(ctx, snapshotKey)
	if errors.Is(err, provider.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	snapshot := &messenger.Change{}
	return snapshot, errors.Wrap(proto.Unmarshal(data, snapshot), "decode snapshot")
}

// PutSnapshot stores the latest snapshot, so that an instance that starts has to
// read only the few changes after it.
func (c *Committer) PutSnapshot(ctx context.Context, snapshot *messenger.Change) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	return c.Platform.PutObject(ctx, snapshotKey, data)
}
