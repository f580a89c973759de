package oper

import (
	"context"
	"strconv"
	"strings"
	"time"

	"geraniumpass/store"
	"geraniumpass/view"
)

// The states of a gateway compared with the others.
const (
	stateCurrent     = "current"
	stateAhead       = "ahead"
	stateBehind      = "behind"
	stateUnreachable = "unreachable"
)

// gatewayRow is what one gateway has in force, compared with the others.
type gatewayRow struct {
	Address string `json:"address"`
	// Status is the last answer, nil if there was none.
	Status *view.Status `json:"status"`
	Error  string       `json:"error,omitempty"`
	// State, BehindVersions and BehindRevisions are those at the first answer.
	State           string `json:"state"`
	BehindVersions  int64  `json:"behind_versions"`
	BehindRevisions int64  `json:"behind_revisions"`
	// CaughtUpMs is how long after the first question a gateway that was behind had caught up.
	CaughtUpMs int64 `json:"caught_up_ms,omitempty"`
	// Unconfirmed is set if the state wasn't confirmed recently.
	Unconfirmed bool `json:"unconfirmed"`
	// Late is set if the gateway counts as behind by more than the bound.
	Late bool `json:"late"`
}

// target is the newest version and revision that any gateway has or knows.
type target struct {
	version  int64
	revision int64
}

// newestOf returns the target given by the answers.
func newestOf(rows []gatewayRow) target {
	var t target
	for i := range rows {
		if s := rows[i].Status; s != nil {
			t.version = max(t.version, s.Version.Number, s.Version.Known)
			t.revision = max(t.revision, store.Revision(s.Era, s.Revision.Number), store.Revision(s.KnownEra, s.Revision.Known))
		}
	}
	return t
}

// reached reports whether a gateway has the target in force.
func (t target) reached(s *view.Status) bool {
	return s != nil && s.Version.Number >= t.version && store.Revision(s.Era, s.Revision.Number) >= t.revision
}

// mark compares each gateway with the target. Those that have it are ahead if fewer than half of the
// gateways that answered do.
func mark(rows []gatewayRow, t target) {
	answered, reached := 0, 0
	for i := range rows {
		if rows[i].Status != nil {
			answered++
		}
		if t.reached(rows[i].Status) {
			reached++
		}
	}
	for i := range rows {
		rows[i].mark(t, 2*reached < answered)
	}
}

func (r *gatewayRow) mark(t target, few bool) {
	switch {
	case r.Status == nil:
		r.State = stateUnreachable
	case !t.reached(r.Status):
		r.State = stateBehind
		r.BehindVersions = max(0, t.version-r.Status.Version.Number)
		r.BehindRevisions = revisionsBehind(r.Status, t.revision)
	case few:
		r.State = stateAhead
	default:
		r.State = stateCurrent
	}
}

// revisionsBehind returns how many revisions a gateway lacks. Of an era that it doesn't know, it lacks all.
func revisionsBehind(s *view.Status, newest int64) int64 {
	if store.EraOf(newest) > s.Era {
		return max(1, store.NumberOf(newest))
	}
	return max(0, store.NumberOf(newest)-s.Revision.Number)
}

// ask updates the row by an answer of its gateway. A gateway that doesn't answer keeps its last status.
func (r *gatewayRow) ask(ctx context.Context, ask asker) {
	s, err := ask(ctx, r.Address)
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.Status, r.Error = s, ""
}

// follow asks a gateway again until it has reached the target or ctx ends.
func (r *gatewayRow) follow(ctx context.Context, ask asker, t target, started time.Time) {
	if t.reached(r.Status) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(recheckInterval):
		}
		r.ask(ctx, ask)
		if t.reached(r.Status) {
			r.CaughtUpMs = time.Since(started).Milliseconds()
			return
		}
	}
}

// judge decides whether a gateway counts as behind.
func (r *gatewayRow) judge(t target, confirmedWithin time.Duration) {
	if r.Status != nil {
		age := time.Duration(r.Status.UnconfirmedMs) * time.Millisecond
		r.Unconfirmed = !r.Status.Confirmed || age > confirmedWithin
	}
	r.Late = r.Unconfirmed || !t.reached(r.Status)
}

// quantity returns a number with its noun.
func quantity(n int64, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return strconv.FormatInt(n, 10) + " " + noun
}

// note describes a row's state in words.
func (r *gatewayRow) note() string {
	parts := []string{r.State}
	if r.BehindVersions > 0 {
		parts = append(parts, quantity(r.BehindVersions, "version"))
	}
	if r.BehindRevisions > 0 {
		parts = append(parts, quantity(r.BehindRevisions, "revision"))
	}
	switch {
	case r.CaughtUpMs > 0:
		parts = append(parts, "caught up within "+strconv.FormatInt(r.CaughtUpMs, 10)+" ms")
	case r.Late && r.State == stateBehind:
		parts = append(parts, "still behind at the bound")
	}
	if r.Unconfirmed {
		parts = append(parts, "unconfirmed")
	}
	if r.Error != "" {
		parts = append(parts, r.Error)
	}
	return strings.Join(parts, ", ")
}
