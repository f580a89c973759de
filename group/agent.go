package group

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/place"
	"geraniumpass/retry"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

const (
	// busyPollInterval applies while the engine is stepping: about one read per step of some 80 ms.
	busyPollInterval = 60 * time.Millisecond
	// idlePollInterval applies while the engine is idle.
	idlePollInterval = 250 * time.Millisecond
	// orderTimeout bounds the attempts at one order, after which the leader has to resend it; a
	// copy takes about 400 ms.
	orderTimeout = 2 * time.Second
	// orderPollInterval is the pause between two reads of the engine while an order waits for it.
	orderPollInterval = 10 * time.Millisecond
	// countsIntervalPerCount limits the counts that a rank sends to 8 KB/s, so that those of many
	// ranks fit the leader's link of 8 Mbit/s.
	countsIntervalPerCount = 125 * time.Microsecond
	// lossyWindow is how long after an unanswered order the engine is expected to leave more orders
	// unanswered, so that holds lie at least shift.MinAheadLossy steps ahead.
	lossyWindow = 5 * time.Second
	// slowLogPace is the ratio of an engine's step time to its usual step time from which the
	// engine is logged as slow. The usual time includes the cost of batches and long prompts; one
	// slow rank slows down the whole group.
	slowLogPace = 1.5
	// suspendThreshold is the overrun of a pause from which the machine is logged as suspended:
	// several times the scheduling delay on a busy machine.
	suspendThreshold = time.Second
	// maxRefusals is how often an engine may refuse an order that its state allows before the
	// leader gets a mismatch as its answer.
	maxRefusals = 3
)

var (
	ordersSent         = expvar.NewInt("engine_orders")
	ordersUnanswered   = expvar.NewInt("engine_orders_unanswered")
	orphanedHoldsEnded = expvar.NewInt("engine_holds_ended_unwanted")
)

// Agent guards the engine of one rank and reports the engine's state to the group's leader.
type Agent struct {
	Engine Engine
	Clock  clockwork.Clock
	Log    hclog.Logger

	// orderMu serializes orders: it is held from reading the engine's state until the order is
	// sent.
	orderMu sync.Mutex
	guard   shift.Guard
	// engineStart is the newest start of the engine observed, in Unix milliseconds; guarded by
	// orderMu.
	engineStart int64
	// staleReports is the number of reports in a row of an earlier start; guarded by orderMu.
	staleReports int
	// unansweredAt is when the engine last failed to answer an order.
	unansweredAt time.Time
	// refusesMaps is set once the process stops. confirmed is the version of the last map that the rank confirmed
	// to have prepared, and confirmedAt when it did. All are guarded by orderMu.
	refusesMaps bool
	confirmed   int64
	confirmedAt time.Time

	mu     sync.Mutex
	report Report
	known  bool
	// seen is what is known of the whole group.
	seen sight
	// slow is set while the engine's pace is slowLogPace or more.
	slow bool
	// countsLen is the number of counts that the engine returns.
	countsLen int
	// tally holds the counts not sent to the leader yet; countsSentAt is when counts were last
	// sent; urgent is set once expert popularity has shifted since then.
	tally        place.Tally
	countsSentAt time.Time
	urgent       bool
	// packer packs counts for rank packerRank.
	packer     *place.Packer
	packerRank int
	// leader is the link of the newest leader and fence its fencing token; leaderSeenAt is when the
	// leader last sent anything.
	leader       *wire.Link
	fence        int64
	leaderSeenAt time.Time
	sent         sentState
	// links holds the links of all leaders, including replaced ones.
	links map[*wire.Link]bool
	// inFlight keeps a resent order from being executed twice at the same time.
	inFlight map[shift.Order]bool
	// left is set once the process takes no further orders.
	left bool
	// mapCache holds the newest maps received with orders.
	mapCache mapCache
	// preparing is the map version that the engine was last ordered to prepare.
	preparing int64

	publisher *publisher
}

// NewAgent returns an agent that has not read its engine yet.
func NewAgent(e Engine, clock clockwork.Clock, log hclog.Logger) *Agent {
	return &Agent{
		Engine:       e,
		Clock:        clock,
		Log:          log,
		leaderSeenAt: clock.Now(),
		links:        make(map[*wire.Link]bool),
		inFlight:     make(map[shift.Order]bool),
		preparing:    shift.None,
		publisher:    newPublisher(log),
	}
}

// Run polls the engine until ctx ends and reports its state to the leader and the subscribers.
func (a *Agent) Run(ctx context.Context) {
	go a.publishUntil(ctx)
	for ctx.Err() == nil {
		wait := idlePollInterval
		if a.poll(ctx) {
			wait = busyPollInterval
		}
		a.pause(ctx, wait)
	}
}

// pause waits and logs a warning if the machine was suspended meanwhile: the engine was suspended
// as well and still holds the requests that it had accepted. The monotonic clock stops while a
// machine is suspended; the wall clock jumps when it is set.
func (a *Agent) pause(ctx context.Context, wait time.Duration) {
	before := a.Clock.Now()
	retry.Sleep(ctx, wait)
	now := a.Clock.Now()
	monotonic := now.Sub(before)
	wall := now.Round(0).Sub(before.Round(0))
	if max(monotonic, wall) > wait+suspendThreshold {
		a.Log.Warn("machine was suspended or its clock was set", "steady", monotonic.String(), "daytime", wall.String())
	}
}

// poll reads the engine once and reports whether the group is stepping or has requests.
func (a *Agent) poll(ctx context.Context) bool {
	a.orderMu.Lock()
	rep, err := a.readReport(ctx)
	fence := a.guard.Fence
	a.orderMu.Unlock()
	if err != nil {
		a.markUnreadable(err)
		return false
	}
	a.mu.Lock()
	a.fence = max(a.fence, fence)
	stepped := !a.known || rep.Step != a.report.Step
	a.mu.Unlock()
	if stepped {
		if counts, err := a.Engine.Counts(ctx); err == nil {
			a.mu.Lock()
			a.countsLen = len(counts)
			a.urgent = a.tally.Add(counts) || a.urgent
			a.mu.Unlock()
		}
	}
	busy := a.storeReport(rep)
	a.publisher.notify()
	a.sendState()
	return stepped || busy
}

// readReport reads the engine's state and releases an orphaned hold. The caller holds orderMu.
func (a *Agent) readReport(ctx context.Context) (Report, error) {
	rep, err := a.Engine.Report(ctx)
	if err != nil {
		return rep, err
	}
	if err := a.checkStart(rep); err != nil {
		return rep, err
	}
	a.guard.Observe(rep.State)
	step := a.guard.OrphanedHold(rep.State)
	if step == shift.None {
		return rep, nil
	}
	orphanedHoldsEnded.Add(1)
	a.Log.Warn("releasing an orphaned hold", "step", step, "epoch", rep.Epoch)
	if _, err := a.execute(ctx, shift.Order{Op: shift.OpGo, Epoch: rep.Epoch, Step: step}, nil); err != nil {
		return rep, err
	}
	return a.Engine.Report(ctx)
}

func (a *Agent) execute(ctx context.Context, o shift.Order, layout [][][]int) (bool, error) {
	ordersSent.Add(1)
	done, err := a.Engine.Do(ctx, o, layout)
	if err != nil {
		ordersUnanswered.Add(1)
		if o.Op != shift.OpPrepare {
			// A lost prepare order stalls no step, so it does not affect how far ahead holds must
			// lie.
			a.unansweredAt = a.Clock.Now()
		}
		a.Log.Warn("engine did not answer an order, which may still be executed", "op", o.Op.String(), "version", o.Version, "step", o.Step, "error", err)
	}
	return done, err
}

func (a *Agent) markUnreadable(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		a.Log.Warn("cannot read the engine's state", "error", err)
	}
	a.known = false
}

// storeReport stores a report and reports whether the group has requests.
func (a *Agent) storeReport(rep Report) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known || rep.Epoch != a.report.Epoch || rep.Open != a.report.Open {
		a.Log.Info("rank", "group", rep.Group, "rank", rep.Rank, "size", rep.Size, "epoch", rep.Epoch, "open", rep.Open, "map", rep.Map)
	}
	if slow := rep.Pace >= slowLogPace; slow != a.slow {
		a.slow = slow
		a.Log.Info("engine pace changed", "slow", slow, "pace", rep.Pace, "step", rep.Step)
	}
	a.report = rep
	a.known = true
	return a.seen.observe(a.Clock.Now(), &rep)
}

// Report returns the newest state read; known is false while the engine cannot be read.
func (a *Agent) Report() (rep Report, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report, a.known
}
