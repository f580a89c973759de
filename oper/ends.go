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

// endsTimeout bounds a command's calls to the store.
const endsTimeout = 10 * time.Second

// UnknownDigestError says that no end counts against a request.
type UnknownDigestError struct {
	Digest crash.Digest
}

// Error names the digest.
func (e *UnknownDigestError) Error() string {
	return "no end of an instance counts against request " + e.Digest.String()
}

func (c *Command) ends(app *kingpin.Application) {
	ends := app.Command("ends", "Requests under which instances ended, on the platform.")
	address := ends.Flag("store", "Address of the platform's store.").Envar("GERANIUMPASS_STORE").Required().String()
	ends.Command("list", "List the ends, and which count against their request.").Action(func(*kingpin.ParseContext) error {
		return c.listEnds(platform.NewStore(*address))
	})
	release := ends.Command("release", "Let entries send a request again.")
	var d crash.Digest
	release.Arg("digest", "Digest of the request, from the list or a log.").Required().SetValue(&digestValue{to: &d})
	release.Action(func(*kingpin.ParseContext) error {
		return c.releaseEnds(platform.NewStore(*address), d)
	})
}

// digestValue reads a digest from the command line.
type digestValue struct {
	to *crash.Digest
}

// Set reads a digest in hexadecimal and fails with a *crash.DigestError.
func (v *digestValue) Set(text string) error {
	return v.to.UnmarshalText([]byte(text))
}

// String returns the digest.
func (v *digestValue) String() string {
	return v.to.String()
}

func (c *Command) listEnds(st *platform.Store) error {
	ctx, cancel := context.WithTimeout(context.Background(), endsTimeout)
	defer cancel()
	known, err := st.Ends(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for by, ends := range known {
		for _, e := range ends {
			rows = append(rows, []string{
				e.Digest.String(),
				e.Account,
				e.Instance,
				time.UnixMilli(e.Time).UTC().Format(time.RFC3339),
				strconv.FormatBool(!e.Cleared),
				by,
			})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return fmt.Sprint(rows[i]) < fmt.Sprint(rows[j]) })
	return c.show(known, []string{"REQUEST", "ACCOUNT", "INSTANCE", "ENDED", "COUNTS", "STATED BY"}, rows)
}

// releaseEnds states, under the operator's own name, that the ends known of a request are not its doing.
func (c *Command) releaseEnds(st *platform.Store, d crash.Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), endsTimeout)
	defer cancel()
	known, err := st.Ends(ctx)
	if err != nil {
		return err
	}
	name := "operator-" + c.Who
	stated := cleared(known, d)
	if len(stated) == 0 {
		return &UnknownDigestError{Digest: d}
	}
	if c.DryRun {
		fmt.Fprintf(c.Out, "would clear request %s of %d ends\n", d, len(stated))
		return nil
	}
	own, err := st.Get(ctx, platform.EndsKey(name))
	if err != nil {
		return err
	}
	data, err := json.Marshal(append(known[name], stated...))
	if err != nil {
		return errs.Wrap(err)
	}
	lease, err := st.Grant(ctx, crash.Retention)
	if err != nil {
		return err
	}
	if _, err := st.Swap(ctx, platform.EndsKey(name), data, own.Modified, lease); err != nil {
		return err
	}
	fmt.Fprintf(c.Out, "request %s cleared of %d ends\n", d, len(stated))
	return nil
}

// cleared returns the ends that count against a request, stated not to be its doing.
func cleared(known map[string][]crash.Termination, d crash.Digest) []crash.Termination {
	done := make(map[crash.TerminationKey]bool)
	var counted []crash.Termination
	for _, ends := range known {
		for _, e := range ends {
			switch {
			case e.Digest != d:
			case e.Cleared:
				done[e.Key()] = true
			default:
				counted = append(counted, e)
			}
		}
	}
	var out []crash.Termination
	for _, e := range counted {
		if !done[e.Key()] {
			done[e.Key()] = true
			e.Cleared = true
			out = append(out, e)
		}
	}
	return out
}
