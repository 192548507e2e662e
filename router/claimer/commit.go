package claimer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"heatherhold.dev/core/messenger"
	"heatherhold.dev/router/provider"
)

const (
	// groupLimit is the largest number of claims in one transaction.
	groupLimit = 64
	// maxCommitFailures is how many times a commit without a usable response is tried.
	maxCommitFailures = 3
	// commitRetryDelay is the delay between two attempts.
	commitRetryDelay = 20 * time.Millisecond
)

// operation is the write of one claim's row, which shares a transaction with others.
type operation struct {
	claim *Claim
	value []byte
	done  chan outcome
}

type outcome struct {
	conflict *messenger.Row
	err      error
}

// Run commits claims in groups until ctx is done. Then the waiting operations get an
// error.
func (c *Claimer) Run(ctx context.Context) error {
	var remaining []*operation
	for {
		if len(remaining) == 0 {
			operations, err := c.operations.Wait(ctx)
			if err != nil {
				return c.failPending(ctx)
			}
			remaining = operations
		}
		var group []*operation
		group, remaining = nextGroup(append(remaining, c.operations.Drain()...))
		c.commit(ctx, group)
	}
}

// failPending completes the operations that are still waiting with ctx's error.
func (c *Claimer) failPending(ctx context.Context) error {
	for _, o := range c.operations.Drain() {
		o.done <- outcome{err: ctx.Err()}
	}
	return nil
}

// nextGroup splits off the first group of operations, in which no row occurs twice.
func nextGroup(operations []*operation) (group, remaining []*operation) {
	rows := make(map[string]bool)
	for _, o := range operations {
		if len(group) < groupLimit && !rows[o.claim.row] {
			rows[o.claim.row] = true
			group = append(group, o)
			continue
		}
		remaining = append(remaining, o)
	}
	return group, remaining
}

// commit writes a group. Operations whose rows conflict are completed and left out, and
// the others are tried again. A commit without a usable response is tried again too:
// if it had taken effect, the conflicting rows contain the attempts of these same
// claims.
func (c *Claimer) commit(ctx context.Context, group []*operation) {
	failures := 0
	for len(group) > 0 {
		conflicts, err := c.Table.Commit(ctx, transaction(group))
		if err != nil {
			failures++
			if failures < maxCommitFailures && ctx.Err() == nil && errors.Is(err, provider.ErrUnavailable) {
				time.Sleep(commitRetryDelay)
				continue
			}
			completeAll(group, outcome{err: err})
			return
		}
		if len(conflicts) == 0 {
			completeAll(group, outcome{})
			return
		}
		group = resolveConflicts(group, conflicts)
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

func completeAll(group []*operation, got outcome) {
	for _, o := range group {
		o.done <- got
	}
}

func resolveConflicts(group []*operation, conflicts []messenger.Row) []*operation {
	conflictByKey := make(map[string]messenger.Row)
	for _, row := range conflicts {
		conflictByKey[row.Key] = row
	}
	var remaining []*operation
	for _, o := range group {
		row, ok := conflictByKey[o.claim.row]
		switch {
		case !ok:
			remaining = append(remaining, o)
		case wroteRow(o, row):
			o.done <- outcome{}
		default:
			o.done <- outcome{conflict: &row}
		}
	}
	return remaining
}

// wroteRow reports whether row was written by o itself, in a commit whose response was
// lost.
func wroteRow(o *operation, row messenger.Row) bool {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return false
	}
	return row.Version == o.claim.version+1 && r.Attempt == o.claim.record.Attempt && r.State == o.claim.record.State
}
