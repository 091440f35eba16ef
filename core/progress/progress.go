package progress

import "time"

// Limits bound the pauses of a stream.
type Limits struct {
	// Silence is the longest time without any byte.
	Silence time.Duration
	// FirstToken is the longest time from the start to the first token; signs of life do not extend it.
	FirstToken time.Duration
	// BetweenTokens is the longest time between two tokens; signs of life do not extend it.
	BetweenTokens time.Duration
}

// Verdict says what is wrong with a stream; the empty verdict means nothing yet.
type Verdict string

// Verdicts on a stream.
const (
	// Fine means that no limit has passed.
	Fine Verdict = ""
	// Silent means that nothing at all has come: the connection may be lost while the upstream is well.
	Silent Verdict = "silent"
	// Stalled means that signs of life came but no token.
	Stalled Verdict = "stalled"
)

// Watch follows one stream.
type Watch struct {
	limits    Limits
	lastByte  time.Time
	lastToken time.Time
	begun     bool
}

// New returns a watch over a stream that starts now; begun says that tokens came before, on another connection.
func New(limits Limits, now time.Time, begun bool) *Watch {
	return &Watch{limits: limits, lastByte: now, lastToken: now, begun: begun}
}

// Alive notes a sign of life that is no token.
func (w *Watch) Alive(now time.Time) { w.lastByte = now }

// Token notes a token.
func (w *Watch) Token(now time.Time) {
	w.lastByte, w.lastToken, w.begun = now, now, true
}

// Check returns the verdict and, while the stream is fine, how long until the next check.
func (w *Watch) Check(now time.Time) (Verdict, time.Duration) {
	tokenLimit := w.limits.FirstToken
	if w.begun {
		tokenLimit = w.limits.BetweenTokens
	}
	quiet := w.lastByte.Add(w.limits.Silence).Sub(now)
	stalled := w.lastToken.Add(tokenLimit).Sub(now)
	switch {
	case quiet <= 0:
		return Silent, 0
	case stalled <= 0:
		return Stalled, 0
	default:
		return Fine, min(quiet, stalled)
	}
}

const (
	// queueFactor is how many silences a call may wait for its first token beyond its prefill.
	queueFactor = 8
	// prefillFactor allows for an engine that computes prompts slower than it reports.
	prefillFactor = 4
	// betweenFactor is how many silences may pass between two tokens of an engine that shows life.
	betweenFactor = 3
)

// LimitsFor returns the limits of a call: prefill is the expected time for its prompt, and keepalives says that the
// engine shows life while a call waits, so that silence means a lost connection from the first moment on.
func LimitsFor(silence, prefill time.Duration, keepalives bool) Limits {
	limits := Limits{
		Silence:       silence,
		FirstToken:    queueFactor*silence + prefillFactor*prefill,
		BetweenTokens: betweenFactor * silence,
	}
	if !keepalives {
		limits.Silence = limits.FirstToken
		limits.BetweenTokens = silence
	}

	return limits
}
