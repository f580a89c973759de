package admit

import (
	"expvar"
	"math"
	"time"

	"geraniumpass/plan"
)

const (
	// maxPromptTokens and maxAnswerTokens are the most tokens that a request is believed to have. No
	// engine holds more for one request.
	maxPromptTokens = 1 << 18
	maxAnswerTokens = 1 << 16
	// hintFactor is the ratio within which a length hint counts as right.
	hintFactor = 1.5
	// initialTrust is the weight of length hints before any answer has ended.
	initialTrust = 0.5
	// learnAnswers is the number of answers after which half of what is known comes from them.
	learnAnswers = 8
	// answerGain is the least weight of one answer in the averages.
	answerGain = 0.02
	// maxClasses bounds the number of classes that are remembered.
	maxClasses = 256
)

// unusualSizes counts the requests whose size was missing or impossible, by field.
var unusualSizes = expvar.NewMap("admission_unusual_sizes")

// answers is what is known of the lengths of one class's answers.
type answers struct {
	count float64
	mean  float64
	// hints counts the hints, trust is the share of them that were right.
	hints float64
	trust float64
}

// work estimates what requests cost; its zero value has seen no answer.
type work struct {
	byClass map[string]*answers
	all     answers
}

// finished records the length of an answer and the hint that came with its request.
func (w *work) finished(class string, lengthHint, answerTokens int) {
	if answerTokens <= 0 || answerTokens > maxAnswerTokens {
		unusualSizes.Add("answer", 1)
		return
	}
	a := w.byClass[class]
	if a == nil && len(w.byClass) < maxClasses {
		a = &answers{
			trust: initialTrust,
		}
		w.byClass[class] = a
	}
	w.all.add(float64(answerTokens))
	if a == nil {
		return
	}
	a.add(float64(answerTokens))
	if lengthHint > 0 && lengthHint <= maxAnswerTokens {
		a.judge(float64(lengthHint), float64(answerTokens))
	}
}

func (a *answers) add(tokens float64) {
	a.count++
	a.mean += max(1/a.count, answerGain) * (tokens - a.mean)
}

func (a *answers) judge(hint, tokens float64) {
	right := 0.0
	if hint <= tokens*hintFactor && tokens <= hint*hintFactor {
		right = 1
	}
	a.hints++
	a.trust += max(1/(a.hints+learnAnswers), answerGain) * (right - a.trust)
}

// usual returns the mean answer length, starting from the published one.
func (a *answers) usual(published float64) float64 {
	weight := a.count / (a.count + learnAnswers)
	return weight*a.mean + (1-weight)*published
}

// answer estimates the number of output tokens of a request.
func (w *work) answer(e *plan.Engine, d *Demand) float64 {
	tokens := w.all.usual(e.Answer)
	trust := initialTrust
	if a := w.byClass[d.Class]; a != nil {
		tokens = a.usual(e.Answer)
		trust = a.trust
	}
	if plausible("length_hint", d.LengthHint, maxAnswerTokens) {
		tokens += trust * (float64(d.LengthHint) - tokens)
	}
	if plausible("max_answer_tokens", d.MaxAnswerTokens, maxAnswerTokens) {
		tokens = min(tokens, float64(d.MaxAnswerTokens))
	}
	return tokens
}

// cost returns the work of a request in output tokens; prompt tokens count by the time of reading
// them, as a share of that of an output token in a full batch.
func (w *work) cost(e *plan.Engine, d *Demand) float64 {
	prompt := e.Prompt
	if plausible("prompt_tokens", d.PromptTokens, maxPromptTokens) {
		prompt = float64(d.PromptTokens)
	}
	cost := w.answer(e, d)
	perToken := e.StepMs/float64(e.Slots) + e.SequenceMs
	if e.ReadPerSecond > 0 && perToken > 0 {
		cost += prompt * float64(time.Second/time.Millisecond) / e.ReadPerSecond / perToken
	}
	if math.IsNaN(cost) || cost <= 0 {
		return e.Answer
	}
	return cost
}

// plausible reports whether a number of tokens may be used, and counts it if not.
func plausible(field string, tokens, most int) bool {
	if tokens > 0 && tokens <= most {
		return true
	}
	unusualSizes.Add(field, 1)
	return false
}
