package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"geraniumpass/plan"
)

// maxAnswerBytes limits answers that are buffered before they are forwarded.
const maxAnswerBytes = 8 << 20

// isStream reports whether the answer is an event stream to be forwarded as it arrives.
func (a *attempt) isStream(resp *http.Response) bool {
	return a.r.route.Kind == plan.KindStream && a.isVerified(resp)
}

// isVerified reports whether the answer is a success signed by the upstream for this attempt and
// has no content encoding.
func (a *attempt) isVerified(resp *http.Response) bool {
	return resp.StatusCode >= 200 && resp.StatusCode < 300 && a.reply.Signed && a.reply.ID == a.r.call.ID &&
		resp.Header.Get("Content-Encoding") == ""
}

// recordVerified records that the instance began a verified answer, and thereby that its service is
// answering.
func (a *attempt) recordVerified() {
	a.verified = true
	a.r.g.health.recordAnswer(a.r.service.Name, a.r.g.clock.Now())
	a.r.g.recordAnswer(a.instance)
}

// recordReply applies the metadata in the instance's answer to a request sent at the given time.
func (a *attempt) recordReply(sent time.Time) {
	g := a.r.g
	if a.reply.Invalid != nil && g.loads.recordInvalid(a.instance.Start(), a.reply.Invalid) {
		g.log.Warn("instance sent invalid answer headers", "instance", a.instance.ID, "born", a.instance.StartedAt, "error", a.reply.Invalid)
	}
	if a.reply.Leaving {
		g.leavingInstances.Record(a.instance.Start(), a.r.call.ID)
	}
	if a.reply.Cooldown > 0 {
		now := g.clock.Now()
		g.cooldowns.record(a.instance.Start(), now, now.Add(a.reply.Cooldown))
		g.log.Info("instance requested a cooldown", "instance", a.instance.ID, "born", a.instance.StartedAt, "id", a.r.call.ID, "ms", a.reply.Cooldown.Milliseconds())
	}
	if !a.reply.LimitInvalid {
		g.quotas.Observe(a.instance.Start(), a.reply.Limit, sent)
	}
}

// handleAnswer reads a complete answer and decides whether to forward it or to retry.
func (a *attempt) handleAnswer(resp *http.Response) (verdict, int) {
	body, err := readFull(resp.Body)
	if a.reply.NotExecuted {
		a.r.reason = "refused_" + strconv.Itoa(resp.StatusCode)
		if resp.StatusCode == http.StatusMisdirectedRequest {
			a.r.g.loads.markAddressReused(a.instance.Start())
		}
		a.reuseConn = err == nil && a.isConnReusable(resp)
		return a.orCallerGone(verdictNotExecuted), 0
	}
	if err != nil {
		a.r.reason = "answer_cut"
		a.disconnected = isDisconnect(err)
		a.r.g.log.Debug("answer is incomplete", "id", a.r.call.ID, "instance", a.instance.ID, "status", resp.StatusCode, "error", err)
		return a.orCallerGone(verdictLost), 0
	}
	a.reuseConn = a.isConnReusable(resp)
	if a.r.stream.started {
		// The caller already has events, so only further events may follow.
		a.r.reason = "resumed_" + strconv.Itoa(resp.StatusCode)
		return a.orCallerGone(verdictLost), 0
	}
	ans := &answer{
		status: resp.StatusCode,
		header: resp.Header,
		body:   body,
	}
	switch {
	case a.isVerified(resp):
		a.recordVerified()
		return verdictDone, a.r.sendAnswer(ans)
	case !a.reply.Signed, resp.StatusCode < 300, impliesNotExecuted(resp.StatusCode):
		// An unsigned answer can't be trusted, and these statuses would tell the caller that the
		// request was not executed although it may have been.
		a.r.reason = "unsound_" + strconv.Itoa(resp.StatusCode)
		return a.orCallerGone(verdictLost), 0
	case resp.StatusCode >= 500 && a.r.route.Repeatable() && a.r.sends < a.r.route.Attempts:
		a.r.failedAnswer = ans
		a.r.reason = "failed_" + strconv.Itoa(resp.StatusCode)
		return a.orCallerGone(verdictFailed), 0
	}
	return verdictDone, a.r.sendAnswer(ans)
}

// readFull reads an answer to its end. It returns an *AnswerTooLargeError when the answer exceeds
// maxAnswerBytes, so that a truncated body is never forwarded as complete.
func readFull(from io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return nil, &AnswerTooLargeError{Limit: maxAnswerBytes}
	}
	return body, err
}

// impliesNotExecuted reports whether status tells a caller that its request was not executed.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *attempt) isConnReusable(resp *http.Response) bool {
	return !resp.Close && a.conn.Reader.Buffered() == 0
}
