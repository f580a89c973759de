package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumpass/plan"
)

// maxAnswer bounds an answer that is taken in before it is passed on, in bytes.
const maxAnswer = 8 << 20

// streams returns true when the answer is a series of events to be passed on as they come.
func (a *attempt) streams(resp *http.Response) bool {
	return a.r.route.Kind == plan.KindStream && a.isSound(resp)
}

// isSound returns true for a success that an upstream vouches for.
func (a *attempt) isSound(resp *http.Response) bool {
	return resp.StatusCode >= 200 && resp.StatusCode < 300 && a.reply.Signed && a.reply.ID == a.r.call.ID &&
		resp.Header.Get("Content-Encoding") == ""
}

// noteSound notes that the instance answers, and its service with it.
func (a *attempt) noteSound() {
	a.sound = true
	a.r.g.pulse.answered(a.r.service.Name, a.r.g.clock.Now())
	a.r.g.answers(a.in)
}

// noteStatements takes what the instance states of itself in an answer to a request sent at a time.
func (a *attempt) noteStatements(sent time.Time) {
	g := a.r.g
	if a.reply.Invalid != nil && g.loads.isNewInvalid(a.in.Start(), a.reply.Invalid) {
		g.log.Warn("statement of an instance can't be understood", "instance", a.in.ID, "born", a.in.StartedAt, "error", a.reply.Invalid)
	}
	if a.reply.Leaving {
		g.departing.Note(a.in.Start(), a.r.call.ID)
	}
	if a.reply.Rest > 0 {
		now := g.clock.Now()
		g.rests.ask(a.in.Start(), now, now.Add(a.reply.Rest))
		g.log.Info("instance asks for rest", "instance", a.in.ID, "born", a.in.StartedAt, "id", a.r.call.ID, "ms", a.reply.Rest.Milliseconds())
	}
	if !a.reply.LimitUnclear {
		g.quotas.Observe(a.in.Start(), a.reply.Limit, sent)
	}
}

// takeAnswer reads a whole answer and decides what it is worth.
func (a *attempt) takeAnswer(resp *http.Response) (verdict, int) {
	body, err := readWhole(resp.Body)
	if a.reply.NotRun {
		a.r.reason = "refused_" + strconv.Itoa(resp.StatusCode)
		if resp.StatusCode == http.StatusMisdirectedRequest {
			a.r.g.loads.misplaced(a.in.Start())
		}
		a.finished = err == nil && a.reusable(resp)
		return a.gone(verdictNotRun), 0
	}
	if err != nil {
		a.r.reason = "answer_cut"
		a.cut = isCut(err)
		a.r.g.log.Debug("no whole answer", "id", a.r.call.ID, "instance", a.in.ID, "status", resp.StatusCode, "error", err)
		return a.gone(verdictLost), 0
	}
	a.finished = a.reusable(resp)
	if a.r.stream.begun {
		// Only events can follow the events that the caller has.
		a.r.reason = "resumed_" + strconv.Itoa(resp.StatusCode)
		return a.gone(verdictLost), 0
	}
	ans := &answer{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	switch {
	case a.isSound(resp):
		a.noteSound()
		return verdictDone, a.r.pass(ans)
	case !a.reply.Signed, resp.StatusCode < 300, promises(resp.StatusCode):
		// What nobody vouches for, or what would promise that a request did not run which may have run.
		a.r.reason = "unsound_" + strconv.Itoa(resp.StatusCode)
		return a.gone(verdictLost), 0
	case resp.StatusCode >= 500 && a.r.route.Repeatable() && a.r.sends < a.r.route.Attempts:
		a.r.failure = ans
		a.r.reason = "failed_" + strconv.Itoa(resp.StatusCode)
		return a.gone(verdictFailed), 0
	}
	return verdictDone, a.r.pass(ans)
}

// readWhole reads an answer up to its end and fails with a *LongError when that isn't within the bound: a part must not look whole.
func readWhole(from io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		return nil, &LongError{Limit: maxAnswer}
	}
	return body, err
}

// promises returns true for statuses that tell a caller that its request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *attempt) reusable(resp *http.Response) bool {
	return !resp.Close && a.conn.Reader.Buffered() == 0
}
