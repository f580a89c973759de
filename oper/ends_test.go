package oper

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/core"
	"geraniumpass/crash"
	"geraniumpass/platform"
	"geraniumpass/platform/emul"
)

// TestReleaseClearsRequest guards against a request staying refused after an operator released it:
// three terminations are recorded, and an entry that starts after the release must not refuse the
// request.
func TestReleaseClearsRequest(t *testing.T) {
	st := emul.NewStore("127.0.0.1:0")
	if err := st.Server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(st.Close)
	address := st.Server.Address()
	clock, log := clockwork.NewRealClock(), hclog.NewNullLogger()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fatal := crash.NewHasher(nil).Digest(crash.Request{URI: "/fatal"})
	entry := crash.New(clock, log)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		entry.RecordTermination(fatal, "acme", core.Start{ID: id}, true)
	}
	if !entry.Refuses(fatal) {
		t.Fatal("the request is not refused before the release")
	}
	go (&crash.Publisher{
		Registry: entry,
		Store:    platform.NewStore(address),
		Key:      platform.TerminationsKey("front-1"),
		Log:      log,
	}).Run(ctx)
	for deadline := time.Now().Add(10 * time.Second); len(st.Lookup(platform.TerminationsKey("front-1"))) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("the terminations were not published to the store")
		}
		<-time.After(time.Millisecond)
	}
	if out, err := run(t, address, "list"); err != nil || strings.Count(out, fatal.String()) != 3 || !strings.Contains(out, "front-1") {
		t.Errorf("list: %v, %s", err, out)
	}
	if out, err := run(t, address, "release", fatal.String(), "--who", "ann", "--dry-run"); err != nil || !strings.Contains(out, "3 terminations") {
		t.Errorf("dry run: %v, %s", err, out)
	}
	if out, err := run(t, address, "release", fatal.String(), "--who", "ann"); err != nil || !strings.Contains(out, "3 terminations") {
		t.Errorf("release: %v, %s", err, out)
	}
	later := crash.New(clock, log)
	source := platform.NewSource(platform.NewStore(address), log)
	source.SetTerminationSink(later)
	if _, err := source.Load(ctx); err != nil {
		t.Fatal(err)
	}
	if known, _ := later.Since(0); len(known) != 3 || later.Refuses(fatal) {
		t.Errorf("%d terminations known, refused: %v", len(known), later.Refuses(fatal))
	}
	var unknown *UnknownDigestError
	if _, err := run(t, address, "release", fatal.String(), "--who", "ann"); !errors.As(err, &unknown) {
		t.Errorf("released twice: %v", err)
	}
	var bad *crash.DigestError
	if _, err := run(t, address, "release", "12"); !errors.As(err, &bad) {
		t.Errorf("invalid digest: %v", err)
	}
}

func run(t *testing.T, address string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	app := kingpin.New("geraniumpass", "").Terminate(nil)
	c := &Command{
		Out:    &out,
		Output: outputTable,
		Who:    "operator",
	}
	app.Flag("who", "").StringVar(&c.Who)
	app.Flag("dry-run", "").BoolVar(&c.DryRun)
	c.registerTerminations(app)
	_, err := app.Parse(append([]string{"ends", "--store", address}, args...))
	return out.String(), err
}
