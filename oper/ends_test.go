package oper

import (
	"bytes"
	"context"
	"encoding/json"
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
	"geraniumpass/store"
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

// TestBlockedSegmentIsListedAndReleased guards against a blocked prompt segment that operators can't tell
// from a request, or can't release.
func TestBlockedSegmentIsListedAndReleased(t *testing.T) {
	st := emul.NewStore("127.0.0.1:0")
	if err := st.Server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(st.Close)
	clock, log := clockwork.NewRealClock(), hclog.NewNullLogger()
	fatal := crash.NewHasher(nil).Segment("fa7a1")
	entry := crash.New(clock, log)
	for range 40 {
		entry.CountRequest(nil)
	}
	for i := range 5 {
		entry.Restore([]crash.Termination{{
			Digest:   fatal,
			Segment:  true,
			Instance: string(rune('a' + i)),
			Age:      time.Duration(5-i) * 4 * time.Second,
		}})
	}
	if _, blocked := entry.BlockedSegment([]crash.Digest{fatal}); !blocked {
		t.Fatal("the segment is not blocked before the release")
	}
	data, err := json.Marshal(entry.Local())
	if err != nil {
		t.Fatal(err)
	}
	address := st.Server.Address()
	if _, err := platform.NewStore(address).Swap(context.Background(), platform.TerminationsKey("front-1"), data, 0, store.Lease(0)); err != nil {
		t.Fatal(err)
	}
	if out, err := run(t, address, "list"); err != nil || strings.Count(out, "segment") != 5 || strings.Count(out, fatal.String()) != 5 {
		t.Errorf("list: %v, %s", err, out)
	}
	if out, err := run(t, address, "release", fatal.String(), "--who", "ann"); err != nil || !strings.Contains(out, "5 terminations") {
		t.Errorf("release: %v, %s", err, out)
	}
	source := platform.NewSource(platform.NewStore(address), log)
	source.SetTerminationSink(entry)
	if _, err := source.Load(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, blocked := entry.BlockedSegment([]crash.Digest{fatal}); blocked {
		t.Error("the segment is blocked after the release")
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
