package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"heatherhold.dev/core/declarer"
	"heatherhold.dev/core/messenger"
	"heatherhold.dev/operator/printer"
	"heatherhold.dev/operator/requester"
)

const filesUsage = " BASE.toml [SITE.toml ...]"

// readFiles reads declaration files.
func readFiles(paths []string) ([]declarer.File, error) {
	var files []declarer.File
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, &exitError{
				code: exitInvalid,
				err:  err,
			}
		}
		files = append(files, declarer.File{
			Name: p,
			Data: data,
		})
	}
	return files, nil
}

// parseFiles reads and checks declarations; errors in them name file, line and key.
func parseFiles(paths []string) (declarer.Document, error) {
	files, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	doc, err := declarer.Parse(files)
	if err != nil {
		return nil, &exitError{
			code: exitInvalid,
			err:  err,
		}
	}
	return doc, nil
}

// difference is the change that turns the latest declarations, at revision base,
// into those of the files.
type difference struct {
	base   uint64
	latest declarer.Document
	change declarer.Change
}

func (t *tool) computeDifference(ctx context.Context, paths []string) (difference, error) {
	doc, err := parseFiles(paths)
	if err != nil {
		return difference{}, err
	}
	return compare(ctx, &t.client, doc)
}

// compare returns the difference between the declarations in force at a router and doc.
func compare(ctx context.Context, client *requester.Client, doc declarer.Document) (difference, error) {
	latest, err := client.Configuration(ctx)
	if err != nil {
		return difference{}, err
	}
	current := make(declarer.Document, len(latest.Entries))
	for k, v := range latest.Entries {
		current[declarer.Key(k)] = []byte(v)
	}
	return difference{
		base:   latest.Revision,
		latest: current,
		change: current.Diff(doc),
	}, nil
}

func (t *tool) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff" + filesUsage,
		Short: "Show what declarations would change, and on which base revision",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			d, err := t.computeDifference(c.Context(), paths)
			if err != nil {
				return err
			}
			if err := printer.Difference(c.OutOrStdout(), t.output, d.base, d.latest, d.change); err != nil {
				return err
			}
			if len(d.change) == 0 {
				return nil
			}
			return &exitError{
				code: exitDifferences,
				err:  errors.Errorf("there are differences; apply them with --base %d", d.base),
			}
		},
	}
}

const applyHelp = `Commit declarations as the next revision and wait until it is in force.

--base is the revision that the change was made on, as "diff" or "get" shows
it. If it is no longer the latest, nothing is changed and the conflict is shown.

The output is "accepted" once the revision is in force at every instance that
may still make decisions. If that takes longer than --wait, the output is
"committed" with the instances and sites that are still awaited, and the exit
code is 4.`

func (t *tool) applyCommand() *cobra.Command {
	var base uint64
	var id string
	var wait time.Duration
	c := &cobra.Command{
		Use:   "apply" + filesUsage,
		Short: "Commit declarations and wait until they are in force everywhere",
		Long:  applyHelp,
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			d, err := t.computeDifference(c.Context(), paths)
			if err != nil {
				return err
			}
			if len(d.change) == 0 {
				return printer.Unchanged(c.OutOrStdout(), t.output, d.base)
			}
			revision, err := t.commit(c, base, id, d.change)
			if err != nil {
				return err
			}
			return t.waitAccepted(c, revision, wait)
		},
	}
	c.Flags().Uint64Var(&base, "base", 0, "revision that the change was made on")
	c.Flags().StringVar(&id, "id", uuid.NewString(), "unique id of the change; to repeat a change whose outcome is unknown, use the same id")
	c.Flags().DurationVar(&wait, "wait", 9*time.Second, "how long to wait until it is in force everywhere")
	c.Flag("id").DefValue = "a new one"
	if err := c.MarkFlagRequired("base"); err != nil {
		panic(err)
	}
	return c
}

// commitAttempts is how many times a change is sent at most while its outcome is
// unknown.
const commitAttempts = 3

func (t *tool) commit(c *cobra.Command, base uint64, id string, change declarer.Change) (uint64, error) {
	m := messenger.ConfigurationChange{
		Base:    base,
		ID:      id,
		Entries: make(map[string]string, len(change)),
	}
	for k, v := range change {
		m.Entries[string(k)] = string(v)
	}
	var err error
	for range commitAttempts {
		var revision uint64
		revision, err = t.client.Change(c.Context(), m)
		if err == nil {
			return revision, nil
		}
		var conflict *requester.ConflictError
		if errors.As(err, &conflict) {
			return 0, t.reportConflict(c, conflict)
		}
		if !requester.OutcomeUnknown(err) {
			return 0, err
		}
	}
	return 0, errors.Wrapf(err, "the outcome is unknown; repeat with --id %s", id)
}

func (t *tool) reportConflict(c *cobra.Command, conflict *requester.ConflictError) error {
	if err := printer.Conflict(c.OutOrStdout(), t.output, conflict.Refused); err != nil {
		return err
	}
	return &exitError{
		code: exitConflict,
		err:  errors.Errorf("%s; the latest is %d, and nothing was changed", conflict.Refused.Detail, conflict.Refused.Latest),
	}
}

// progressInterval is the time between two progress messages.
const progressInterval = time.Second

// waitAccepted waits until a revision is accepted and prints which instances it is
// waiting for. After wait it reports the revision as pending.
func (t *tool) waitAccepted(c *cobra.Command, revision uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		pollWait := max(min(progressInterval, time.Until(deadline)), 0)
		a, err := t.client.Acceptance(c.Context(), messenger.AcceptanceQuery{
			Revision: revision,
			Wait:     pollWait,
		})
		if err != nil {
			return errors.Wrapf(err, "revision %d is committed; whether it is in force everywhere is unknown", revision)
		}
		if a.Accepted {
			return printer.Accepted(c.OutOrStdout(), t.output, a)
		}
		if time.Now().After(deadline) {
			return t.reportPending(c, a)
		}
		fmt.Fprintf(c.ErrOrStderr(), "revision %d is committed; waiting for %s\n", revision, printer.Waiting(a))
	}
}

func (t *tool) reportPending(c *cobra.Command, a messenger.Acceptance) error {
	if err := printer.Pending(c.OutOrStdout(), t.output, a); err != nil {
		return err
	}
	return &exitError{
		code: exitPending,
		err:  errors.Errorf("revision %d is committed but not yet in force everywhere", a.Revision),
	}
}

func (t *tool) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get",
		Short: "Show the declarations in force",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			configuration, err := t.client.Configuration(c.Context())
			if err != nil {
				return err
			}
			return printer.Configuration(c.OutOrStdout(), t.output, configuration)
		},
	}
}

func hashCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hash",
		Short: "Read a key from standard input and print its hash for key-sha256",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			line, err := bufio.NewReader(c.InOrStdin()).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			key := strings.TrimRight(line, "\r\n")
			if key == "" {
				return &exitError{
					code: exitInvalid,
					err:  errors.New("the key is empty"),
				}
			}
			sum := sha256.Sum256([]byte(key))
			fmt.Fprintln(c.OutOrStdout(), hex.EncodeToString(sum[:]))
			return nil
		},
	}
}
