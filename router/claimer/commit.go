package claimer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/keeper"
)

const (
	// groupLimit is how many claims go in one transaction.
	groupLimit = 64
	// commitTries is how often a commit without an answer is tried.
	commitTries = 3
	// commitPause is the wait between two tries.
	commitPause = 20 * time.Millisecond
)

// operation is one row to write, in a transaction with others.
type operation struct {
	claim *Claim
	value []byte
	done  chan outcome
}

type outcome struct {
	other *messenger.Row
	err   error
}

// Run commits claims in groups until ctx ends; then what waits gets an error.
func (c *Claimer) Run(ctx context.Context) error {
	var left []*operation
	for {
		if len(left) == 0 {
			operations, err := c.operations.Wait(ctx)
			if err != nil {
				return c.stop(ctx)
			}
			left = operations
		}
		var group []*operation
		group, left = split(append(left, c.operations.Take()...))
		c.commit(ctx, group)
	}
}

// stop answers what came too late.
func (c *Claimer) stop(ctx context.Context) error {
	for _, o := range c.operations.Take() {
		o.done <- outcome{err: ctx.Err()}
	}
	return nil
}

// split takes a group in which no row occurs twice.
func split(operations []*operation) (group, left []*operation) {
	rows := make(map[string]bool)
	for _, o := range operations {
		if len(group) < groupLimit && !rows[o.claim.row] {
			rows[o.claim.row] = true
			group = append(group, o)
			continue
		}
		left = append(left, o)
	}
	return group, left
}

// commit writes a group. Rows with conflicts are answered and left out, and the
// others are tried again. A commit that got no answer is tried again too: if it
// took effect, the rows in the table bear the claims' own attempts.
func (c *Claimer) commit(ctx context.Context, group []*operation) {
	tries := 0
	for len(group) > 0 {
		conflicts, err := c.Table.Commit(ctx, transaction(group))
		if err != nil {
			tries++
			if tries < commitTries && ctx.Err() == nil && errors.Is(err, keeper.ErrDown) {
				time.Sleep(commitPause)
				continue
			}
			answerAll(group, outcome{err: err})
			return
		}
		if len(conflicts) == 0 {
			answerAll(group, outcome{})
			return
		}
		group = withoutConflicts(group, conflicts)
	}
}

func transaction(group []*operation) messenger.Commit {
	var t messenger.Commit
	for _, o := range group {
		t.If = append(t.If, messenger.Row{
			Key:     o.claim.row,
			Version: o.claim.version,
		})
		t.Put = append(t.Put, messenger.Row{
			Key:   o.claim.row,
			Value: o.value,
		})
	}
	return t
}

func answerAll(group []*operation, got outcome) {
	for _, o := range group {
		o.done <- got
	}
}

func withoutConflicts(group []*operation, conflicts []messenger.Row) []*operation {
	against := make(map[string]messenger.Row)
	for _, row := range conflicts {
		against[row.Key] = row
	}
	var left []*operation
	for _, o := range group {
		row, ok := against[o.claim.row]
		switch {
		case !ok:
			left = append(left, o)
		case own(o, row):
			o.done <- outcome{}
		default:
			o.done <- outcome{other: &row}
		}
	}
	return left
}

// own reports whether the row is what o itself wrote before the answer was lost.
func own(o *operation, row messenger.Row) bool {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return false
	}
	return row.Version == o.claim.version+1 && r.Attempt == o.claim.record.Attempt && r.State == o.claim.record.State
}
