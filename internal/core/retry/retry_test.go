package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

var start = time.Unix(1_000_000, 0)

// budgetWithRetries returns a budget that allows retries.
func budgetWithRetries() *Budget {
	b := new(Budget)
	for range 1000 {
		b.RecordRequest(start)
	}
	return b
}

// TestDecide guards against a wrong entry in the table of retry decisions.
func TestDecide(t *testing.T) {
	base := AttemptState{Kind: fault.Overloaded, Run: fault.NotRun, Attempt: 1, MaxAttempts: 3, Remaining: time.Second, Replayable: true}
	for name, c := range map[string]struct {
		change func(*AttemptState)
		want   Verdict
	}{
		"overloaded":               {func(*AttemptState) {}, Verdict{Retry, RetryNotRun}},
		"may have run":             {func(s *AttemptState) { s.Run, s.Kind = fault.RunUnknown, fault.OutcomeUnknown }, Verdict{Answer, DenyMayRun}},
		"may have run, idempotent": {func(s *AttemptState) { s.Run, s.Kind, s.Idempotent = fault.RunUnknown, fault.OutcomeUnknown, true }, Verdict{Retry, RetryIdempotent}},
		"last attempt":             {func(s *AttemptState) { s.Attempt = 3 }, Verdict{Answer, DenyAttempts}},
		"one attempt":              {func(s *AttemptState) { s.MaxAttempts = 0 }, Verdict{Answer, DenyAttempts}},
		"one attempt, draining":    {func(s *AttemptState) { s.MaxAttempts, s.Kind = 1, fault.Draining }, Verdict{Retry, RetryFree}},
		"one attempt, draining x2": {func(s *AttemptState) { s.MaxAttempts, s.Attempt, s.Kind = 1, 2, fault.Draining }, Verdict{Answer, DenyAttempts}},
		"draining that ran":        {func(s *AttemptState) { s.Kind, s.Run = fault.Draining, fault.RunUnknown }, Verdict{Answer, DenyMayRun}},
		"deep":                     {func(s *AttemptState) { s.Depth = 1 }, Verdict{Answer, DenyDepth}},
		"deep, throttled":          {func(s *AttemptState) { s.Depth, s.Kind = 1, fault.Throttled }, Verdict{Answer, DenyDepth}},
		"deep, queue deadline":     {func(s *AttemptState) { s.Depth, s.Kind = 1, fault.DeadlineExceeded }, Verdict{Answer, DenyDepth}},
		"deep, unknown, idempotent": {func(s *AttemptState) {
			s.Depth, s.Kind, s.Run, s.Idempotent = 1, fault.OutcomeUnknown, fault.RunUnknown, true
		}, Verdict{Answer, DenyDepth}},
		"deep, draining":       {func(s *AttemptState) { s.Depth, s.Kind = 1, fault.Draining }, Verdict{Retry, RetryFree}},
		"deep, no connection":  {func(s *AttemptState) { s.Depth, s.Kind = 1, fault.NoEndpoint }, Verdict{Retry, RetryFree}},
		"deep, draining twice": {func(s *AttemptState) { s.Depth, s.Kind, s.Attempt = 1, fault.Draining, 2 }, Verdict{Answer, DenyDepth}},
		"body gone":            {func(s *AttemptState) { s.Replayable = false }, Verdict{Answer, DenyBody}},
		"no time":              {func(s *AttemptState) { s.Remaining = time.Millisecond }, Verdict{Answer, DenyDeadline}},
		"caller gone":          {func(s *AttemptState) { s.Canceled = true }, Verdict{Answer, DenyCanceled}},
		"claim conflict":       {func(s *AttemptState) { s.Kind = fault.Conflict }, Verdict{Answer, DenyKind}},
		"bad request":          {func(s *AttemptState) { s.Kind = fault.BadRequest }, Verdict{Answer, DenyKind}},
	} {
		t.Run(name, func(t *testing.T) {
			s := base
			c.change(&s)
			require.Equal(t, c.want, Decide(s, budgetWithRetries(), start))
		})
	}
	require.Equal(t, Verdict{Answer, DenyBudget}, Decide(base, exhaustedBudget(), start))
}

func exhaustedBudget() *Budget {
	b := new(Budget)
	for b.TryWithdraw(start) {
	}
	return b
}

func drawState(t *rapid.T) AttemptState {
	return AttemptState{
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Kind:        rapid.SampledFrom(fault.Kinds()).Draw(t, "kind"),
		Run:         rapid.SampledFrom([]fault.RunState{fault.NotRun, fault.RunUnknown, ""}).Draw(t, "run"),
		Attempt:     rapid.IntRange(1, 5).Draw(t, "attempt"),
		MaxAttempts: rapid.IntRange(0, 5).Draw(t, "attempts"),
		Depth:       rapid.IntRange(0, MaxDepth).Draw(t, "depth"),
		Remaining:   time.Duration(rapid.IntRange(-10, 1000).Draw(t, "ms")) * time.Millisecond,
		Replayable:  rapid.Bool().Draw(t, "replayable"),
		Canceled:    rapid.Bool().Draw(t, "canceled"),
	}
}

// TestNeverTwice guards against a non-idempotent request that is retried
// although it may have run, and against retries below the first level.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawState(t)
		if Decide(s, budgetWithRetries(), start).Action == Retry {
			require.True(t, s.Idempotent || s.Run == fault.NotRun)
			require.True(t, s.Replayable && !s.Canceled && s.Remaining > 0)
			require.True(t, s.Depth == 0 || s.Run == fault.NotRun && isFree(s.Kind))
			require.Less(t, s.Attempt, max(s.MaxAttempts, 2))
		}
		if DecideHedge(s, budgetWithRetries(), start).Action == Hedge {
			require.True(t, s.Idempotent && s.Depth == 0 && s.Replayable)
		}
	})
}

// TestBudget guards against more retries than 20% of the requests of any 10 s
// plus the minimum rate, and against a budget that does not refill.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := new(Budget)
		now := start
		type event struct {
			at    time.Time
			retry bool
		}
		var es []event
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				es = append(es, event{now, false})
			} else if b.TryWithdraw(now) {
				es = append(es, event{now, true})
			}
		}
		requests, retries := 0, 0
		for _, e := range es {
			if now.Sub(e.at) >= windowWidth-slotWidth {
				continue
			}
			if e.retry {
				retries++
			}
		}
		for _, e := range es { // the window may hold one more slot
			if now.Sub(e.at) < 2*windowWidth && !e.retry {
				requests++
			}
		}
		require.LessOrEqual(t, float64(retries), defaultRetryRatio*float64(requests)+defaultRetryRate*windowWidth.Seconds()+1)
	})
	b := exhaustedBudget()
	require.False(t, b.TryWithdraw(start.Add(windowWidth/2)))
	require.True(t, b.TryWithdraw(start.Add(windowWidth)))
}

// serviceChain is a chain of 20 services, each called by the one above.
type serviceChain struct {
	rand        *rand.Rand
	now         time.Time
	budgets     [MaxDepth]Budget
	requests    [MaxDepth]int
	attempts    [MaxDepth]int
	runs        [MaxDepth]int
	failureRate float64      // share of attempts that fail
	kinds       []fault.Kind // of the failures
}

// call makes one request at the given level and reports whether it succeeded.
func (m *serviceChain) call(level int) bool {
	m.requests[level]++
	m.budgets[level].RecordRequest(m.now)
	s := AttemptState{Idempotent: true, MaxAttempts: 3, Depth: level, Remaining: time.Second, Replayable: true}
	for s.Attempt = 1; ; s.Attempt++ {
		m.attempts[level]++
		s.Kind, s.Run = "", fault.RunUnknown
		if m.rand.Float64() < m.failureRate {
			s.Kind = m.kinds[m.rand.IntN(len(m.kinds))]
			s.Run = fault.LookupKind(s.Kind).Run
		}
		if s.Run == fault.RunUnknown {
			m.runs[level]++
			if level+1 < MaxDepth && !m.call(level+1) {
				s.Kind = fault.OutcomeUnknown // the backend server returns the failure
			}
		}
		if s.Kind == "" {
			return true
		}
		if Decide(s, &m.budgets[level], m.now).Action != Retry {
			return false
		}
	}
}

// TestAmplification guards against retries that multiply over 20 levels of
// calls with 10% failures at each. It prints the measured factors.
func TestAmplification(t *testing.T) {
	const calls = 20000
	for name, kinds := range map[string][]fault.Kind{
		"overloaded": {fault.Overloaded},
		"unknown":    {fault.OutcomeUnknown},
		"draining":   {fault.Draining, fault.NoEndpoint},
		"mixed":      {fault.Overloaded, fault.OutcomeUnknown, fault.Draining, fault.NoEndpoint, fault.DeadlineExceeded},
	} {
		m := &serviceChain{rand: rand.New(rand.NewPCG(1, 1)), now: start, failureRate: 0.1, kinds: kinds}
		ok := 0
		for range calls {
			m.now = m.now.Add(time.Millisecond)
			if m.call(0) {
				ok++
			}
		}
		least := defaultRetryRate * windowWidth.Seconds() * float64(m.now.Sub(start)/windowWidth+1)
		worst, worstRuns := 0.0, 0.0
		for l := range MaxDepth {
			q, a, r := float64(m.requests[l]), float64(m.attempts[l]), float64(m.runs[l])
			require.LessOrEqual(t, r, (1+defaultRetryRatio)*q+least, "runs at level %d", l)
			if l > 0 {
				require.LessOrEqual(t, r, (1+defaultRetryRatio)*calls+least, "runs at level %d against calls from outside", l)
			}
			worst, worstRuns = max(worst, a/q), max(worstRuns, r/calls)
		}
		t.Logf("%s: attempts per request at the worst level %.3f, runs of a service per call from outside %.3f, answered %.3f",
			name, worst, worstRuns, float64(ok)/calls)
	}
}

// TestThrottle guards against a flood that costs the gates a refusal for each
// request, against refusals without pressure, and against a service that does
// not recover.
func TestThrottle(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	th := &Throttle{Rand: r.Float64}
	now := start
	underPressure := true
	flood := func(seconds int, capacity float64) (sent, accepted, all int) {
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			all++
			if !th.Allow("s", "bulk", now, func() bool { return underPressure }) {
				continue
			}
			sent++
			ok := r.Float64() < capacity*float64(all)/float64(sent) // serves a share of all requests
			if ok {
				accepted++
			}
			th.RecordOutcome("s", "bulk", ok, now)
		}
		return sent, accepted, all
	}
	flood(20, 0.1)
	sent, accepted, all := flood(20, 0.1)
	t.Logf("flood of 10 times the capacity: sent %.3f, accepted %.3f of all", float64(sent)/float64(all), float64(accepted)/float64(all))
	require.Less(t, float64(sent), 0.2*float64(all))
	require.Greater(t, float64(accepted), 0.08*float64(all))
	require.True(t, th.Allow("s", "urgent", now, func() bool { return true }), "another rank")
	// Under pressure the share sent grows by throttleMultiple per window.
	flood(3*windowSlots, 1)
	sent, _, all = flood(10, 1)
	require.Greater(t, float64(sent), 0.95*float64(all), "recovery under pressure")
	flood(20, 0.1)
	underPressure = false
	sent, _, all = flood(1, 0.1)
	require.Equal(t, all, sent, "without pressure")
}

// TestBudgets guards against a flood of one rank that uses up the retries of
// another.
func TestBudgets(t *testing.T) {
	var bs Budgets
	now := time.Unix(1_000_000, 0)
	for bs.Get("s", "bulk").TryWithdraw(now) {
		bs.Get("s", "bulk").RecordRequest(now)
	}
	require.False(t, bs.Get("s", "bulk").TryWithdraw(now))
	require.True(t, bs.Get("s", "urgent").TryWithdraw(now))
}
