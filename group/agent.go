package group

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"geraniumpass/place"
	"geraniumpass/proto"
	"geraniumpass/retry"
	"geraniumpass/shift"
	"geraniumpass/wire"
)

const (
	// pollBusy is how often the engine is read while it steps: about once a step, which takes some 80 ms.
	pollBusy = 60 * time.Millisecond
	// pollIdle is how often it is read while it doesn't.
	pollIdle = 250 * time.Millisecond
	// orderTime is how long an order is tried before the leader has to give it again; a copy takes some 400 ms.
	orderTime = 2 * time.Second
	// orderPoll is the pause between two looks at the engine while an order waits for it.
	orderPoll = 10 * time.Millisecond
	// timePerCount keeps what one rank counts within 8 KB a second: a leader's link of 8 Mbit/s takes that of many ranks.
	timePerCount = 125 * time.Microsecond
	// lossyTime is how long an order without an answer makes one expect more of them.
	lossyTime = 5 * time.Second
	// slowPace is how many times its usual time an engine takes for a step from which it counts as slow: what batches and long prompts cost
	// is within the usual time, and one slow rank makes the whole group as slow.
	slowPace = 1.5
	// suspendedAfter is how much longer than asked for a pause lasts after which this process says that its machine stood still: several times
	// what a busy machine keeps a process waiting.
	suspendedAfter = time.Second
	// refusals is how often an engine may refuse an order that its state allows before the leader is told that it doesn't fit.
	refusals = 3
)

var (
	ordersGiven      = expvar.NewInt("engine_orders")
	ordersUnanswered = expvar.NewInt("engine_orders_unanswered")
	holdsEnded       = expvar.NewInt("engine_holds_ended_unwanted")
)

// Agent is the part beside one rank.
type Agent struct {
	Engine Engine
	Clock  clockwork.Clock
	Log    hclog.Logger

	// ordering is held while the engine is read for an order and given it, so that one order is under way at a time.
	ordering sync.Mutex
	guard    shift.Guard
	// born is the newest start of the engine that was seen, held under ordering.
	born int64
	// lossAt is when an order last got no answer.
	lossAt time.Time

	mu     sync.Mutex
	report Report
	known  bool
	// slow is true while the engine takes longer than usual for a step.
	slow bool
	// counts is how many counts the engine has.
	counts int
	// tally is what the leader has not been told yet of counts, toldAt when it last was; urgent is true once popularity has turned since.
	tally  place.Tally
	toldAt time.Time
	urgent bool
	// packer is that of rank packed.
	packer *place.Packer
	packed int
	// leader is the link of the newest leader, with its fence; heard is when it last spoke.
	leader *wire.Link
	fence  int64
	heard  time.Time
	// links are all leaders' links, old ones included.
	links map[*wire.Link]bool
	// underway keeps a repeated order from being tried twice at once.
	underway map[shift.Order]bool
	// maps are the newest maps that orders named.
	maps maps
	// copying is the version that the engine was told to prepare.
	copying int64
}

// NewAgent returns an agent that has seen nothing.
func NewAgent(e Engine, clock clockwork.Clock, log hclog.Logger) *Agent {
	return &Agent{
		Engine:   e,
		Clock:    clock,
		Log:      log,
		heard:    clock.Now(),
		links:    make(map[*wire.Link]bool),
		underway: make(map[shift.Order]bool),
		copying:  shift.None,
	}
}

// Run reads the engine until ctx ends and tells the leader of it.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := pollIdle
		if a.poll(ctx) {
			wait = pollBusy
		}
		a.rest(ctx, wait)
	}
}

// rest pauses and says so when the machine stood still meanwhile: the engine beside, which stood still as well, keeps what it had taken in
// until then. The steady clock doesn't count while a machine is suspended, the time of day jumps when it is set.
func (a *Agent) rest(ctx context.Context, wait time.Duration) {
	before := a.Clock.Now()
	retry.Pause(ctx, wait)
	now := a.Clock.Now()
	steady := now.Sub(before)
	daytime := now.Round(0).Sub(before.Round(0))
	if max(steady, daytime) > wait+suspendedAfter {
		a.Log.Warn("machine stood still, or its time was set", "steady", steady.String(), "daytime", daytime.String())
	}
}

// poll reads the engine once and returns true while it steps.
func (a *Agent) poll(ctx context.Context) bool {
	a.ordering.Lock()
	rep, err := a.look(ctx)
	fence := a.guard.Fence
	a.ordering.Unlock()
	if err != nil {
		a.lost(err)
		return false
	}
	a.mu.Lock()
	a.fence = max(a.fence, fence)
	stepped := !a.known || rep.Step != a.report.Step
	a.mu.Unlock()
	if stepped {
		if counts, err := a.Engine.Counts(ctx); err == nil {
			a.mu.Lock()
			a.counts = len(counts)
			a.urgent = a.tally.Add(counts) || a.urgent
			a.mu.Unlock()
		}
	}
	a.keep(rep)
	a.tell()
	return stepped || rep.Running > 0
}

// look reads the engine's state and lets go of what nobody wants held; the caller holds ordering.
func (a *Agent) look(ctx context.Context) (Report, error) {
	rep, err := a.Engine.Report(ctx)
	if err != nil {
		return rep, err
	}
	if err := a.meet(rep); err != nil {
		return rep, err
	}
	a.guard.Observe(rep.State)
	step := a.guard.Unwanted(rep.State)
	if step == shift.None {
		return rep, nil
	}
	holdsEnded.Add(1)
	a.Log.Warn("ending a hold that nobody wants", "step", step, "epoch", rep.Epoch)
	if _, err := a.do(ctx, shift.Order{Op: shift.OpGo, Epoch: rep.Epoch, Step: step}, nil); err != nil {
		return rep, err
	}
	return a.Engine.Report(ctx)
}

func (a *Agent) do(ctx context.Context, o shift.Order, layout [][][]int) (bool, error) {
	ordersGiven.Add(1)
	done, err := a.Engine.Do(ctx, o, layout)
	if err != nil {
		ordersUnanswered.Add(1)
		if o.Op != shift.OpPrepare {
			// Nothing waits for a copy that begins late, so that its orders say nothing of how far ahead a hold has to lie.
			a.lossAt = a.Clock.Now()
		}
		a.Log.Warn("order unanswered, it may be carried out later", "op", o.Op.String(), "version", o.Version, "step", o.Step, "error", err)
	}
	return done, err
}

func (a *Agent) lost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.known {
		a.Log.Warn("engine can't be read", "error", err)
	}
	a.known = false
}

func (a *Agent) keep(rep Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known || rep.Epoch != a.report.Epoch || rep.Open != a.report.Open {
		a.Log.Info("rank", "group", rep.Group, "rank", rep.Rank, "size", rep.Size, "epoch", rep.Epoch, "open", rep.Open, "map", rep.Map)
	}
	if slow := rep.Pace >= slowPace; slow != a.slow {
		a.slow = slow
		a.Log.Info("engine's pace", "slow", slow, "pace", rep.Pace, "step", rep.Step)
	}
	a.report = rep
	a.known = true
}

// Report returns the newest state read; known is false while the engine can't be read.
func (a *Agent) Report() (rep Report, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report, a.known
}

// tell sends the newest state to the leader.
func (a *Agent) tell() {
	a.mu.Lock()
	l := a.leader
	f := a.frame(a.report)
	now := a.Clock.Now()
	if l == nil {
		// Whoever leads next needs to know what is chosen then.
		a.tally.Take()
	}
	if l != nil && (a.urgent || now.Sub(a.toldAt) >= time.Duration(a.counts)*timePerCount) {
		a.pack(f)
		a.toldAt = now
		a.urgent = false
	}
	a.mu.Unlock()
	if l != nil {
		_ = l.Send(&proto.Frame{RankState: f})
	}
}

func (a *Agent) frame(rep Report) *proto.GroupRank {
	return &proto.GroupRank{
		Born:      rep.Born,
		Group:     rep.Group,
		Epoch:     rep.Epoch,
		Rank:      rep.Rank,
		Size:      rep.Size,
		Open:      rep.Open,
		Step:      rep.Step,
		Map:       rep.Map,
		Prepared:  rep.Prepared,
		Armed:     rep.Armed,
		ArmedStep: rep.ArmedStep,
		Held:      rep.Held,
		Pace:      rep.Pace,
	}
}

// Serve takes a leader's orders from a link until it ends.
func (a *Agent) Serve(l *wire.Link) {
	a.mu.Lock()
	a.links[l] = true
	a.mu.Unlock()
	_ = l.Receive(func(f *proto.Frame) {
		if o := f.RankOrder; o != nil {
			a.take(l, o)
		}
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l)
	if a.leader == l {
		a.leader = nil
	}
}

// Close ends the links of leaders, as the end of the process would.
func (a *Agent) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for l := range a.links {
		l.Close()
	}
}
