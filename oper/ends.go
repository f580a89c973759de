package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs/v2"

	"geraniumpass/crash"
	"geraniumpass/platform"
)

// storeTimeout bounds the store calls of one command.
const storeTimeout = 10 * time.Second

// UnknownDigestError reports that no instance termination counts against a request or a segment.
type UnknownDigestError struct {
	Digest crash.Digest
}

// Error states the digest.
func (e *UnknownDigestError) Error() string {
	return "no instance termination counts against " + e.Digest.String()
}

func (c *Command) registerTerminations(app *kingpin.Application) {
	ends := app.Command("ends", "Requests and prompt segments with which instances of the platform terminated.")
	address := ends.Flag("store", "Address of the platform's store.").Envar("GERANIUMPASS_STORE").Required().String()
	ends.Command("list", "List the terminations and whether each counts against its request.").Action(func(*kingpin.ParseContext) error {
		return c.listTerminations(platform.NewStore(*address))
	})
	release := ends.Command("release", "Clear a refused request or a blocked segment of its terminations, so that entries forward it again.")
	var d crash.Digest
	release.Arg("digest", "Digest of the request or the segment, from the list command or a log.").Required().SetValue(&digestValue{target: &d})
	release.Action(func(*kingpin.ParseContext) error {
		return c.clearRequest(platform.NewStore(*address), d)
	})
}

// digestValue is a kingpin value that parses a digest.
type digestValue struct {
	target *crash.Digest
}

// Set parses a hexadecimal digest and fails with a *crash.DigestError if it is invalid.
func (v *digestValue) Set(text string) error {
	return v.target.UnmarshalText([]byte(text))
}

// String returns the digest in hexadecimal.
func (v *digestValue) String() string {
	return v.target.String()
}

func (c *Command) listTerminations(st *platform.Store) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	byReporter, err := st.Terminations(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for reporter, terminations := range byReporter {
		for _, e := range terminations {
			rows = append(rows, []string{
				kindOf(e),
				e.Digest.String(),
				e.Account,
				e.Instance,
				time.UnixMilli(e.Time).UTC().Format(time.RFC3339),
				strconv.FormatBool(!e.Cleared),
				reporter,
			})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return fmt.Sprint(rows[i]) < fmt.Sprint(rows[j]) })
	return c.printTable(byReporter, []string{"KIND", "DIGEST", "ACCOUNT", "INSTANCE", "ENDED", "COUNTS", "STATED BY"}, rows)
}

// kindOf returns what a termination is attributed to.
func kindOf(e crash.Termination) string {
	if e.Segment {
		return "segment"
	}
	return "request"
}

// clearRequest records, under the operator's name, that the known terminations attributed to a
// request or a prompt segment were not caused by it.
func (c *Command) clearRequest(st *platform.Store, d crash.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	byReporter, err := st.Terminations(ctx)
	if err != nil {
		return err
	}
	name := "operator-" + c.Who
	cleared := clearTerminations(byReporter, d)
	if len(cleared) == 0 {
		return &UnknownDigestError{Digest: d}
	}
	if c.DryRun {
		fmt.Fprintf(c.Out, "would clear %s of %d terminations\n", d, len(cleared))
		return nil
	}
	own, err := st.Get(ctx, platform.TerminationsKey(name))
	if err != nil {
		return err
	}
	data, err := json.Marshal(append(byReporter[name], cleared...))
	if err != nil {
		return errs.Wrap(err)
	}
	lease, err := st.Grant(ctx, crash.Retention)
	if err != nil {
		return err
	}
	if _, err := st.Swap(ctx, platform.TerminationsKey(name), data, own.Modified, lease); err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "%s cleared of %d terminations\n", d, len(cleared))
	return nil
}

// clearTerminations returns cleared copies of the terminations that count against a request.
func clearTerminations(byReporter map[string][]crash.Termination, d crash.Digest) []crash.Termination {
	seen := make(map[crash.TerminationKey]bool)
	var counted []crash.Termination
	for _, terminations := range byReporter {
		for _, e := range terminations {
			switch {
			case e.Digest != d:
			case e.Cleared:
				seen[e.Key()] = true
			default:
				counted = append(counted, e)
			}
		}
	}
	var out []crash.Termination
	for _, e := range counted {
		if !seen[e.Key()] {
			seen[e.Key()] = true
			e.Cleared, e.Age = true, 0
			out = append(out, e)
		}
	}
	return out
}
