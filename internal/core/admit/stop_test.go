package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/pkg/config"
)

// stopTest is a machine whose requests of rank "history" have taken a given time.
type stopTest struct {
	m   *Machine
	now time.Time
}

func newStopTest(slots int, work ...time.Duration) *stopTest {
	s := &stopTest{now: epoch}
	s.m = New(Config{Slots: slots, FixedLimit: true, Ramp: -1, TargetAware: true, Ranks: []config.RankPolicy{{Name: "history", Target: 30 * time.Second}}}, s.now)
	for range minKnownSamples {
		for _, d := range work {
			k := s.offer(time.Minute)
			s.now = s.now.Add(d)
			s.m.Done(s.now, k, d)
		}
	}
	return s
}

func (s *stopTest) offer(deadline time.Duration) *Ticket {
	t := &Ticket{Rank: "history", Deadline: s.now.Add(deadline)}
	s.m.Offer(s.now, t)
	return t
}

// TestStopAt guards against a request that is admitted although it cannot end before
// the node, and against the refusal of one that can.
func TestStopAt(t *testing.T) {
	const left = 5 * time.Second // until the end of the node
	second := []time.Duration{time.Second}
	for _, c := range []struct {
		name     string
		work     []time.Duration // earlier requests
		deadline time.Duration
		want     State
	}{
		{"deadline before the end", nil, left, Admitted},
		{"deadline before the end, long work", []time.Duration{20 * time.Second}, left, Admitted},
		{"unknown work", nil, left + 1, Refused},
		{"work that ends in time", second, time.Minute, Admitted},
		{"work that is too long", []time.Duration{6 * time.Second}, time.Minute, Refused},
		{"one in seven is too long", []time.Duration{6 * time.Second, 1, 1, 1, 1, 1, 1}, time.Minute, Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStopTest(2, c.work...)
			s.m.StopAt(s.now, s.now.Add(left))
			k := s.offer(c.deadline)
			require.Equal(t, c.want, k.State(), k.Refusal())
			if c.want == Refused {
				require.Same(t, errOutlastsNode, k.Refusal())
			}
		})
	}
}

// TestEndBy guards against a request that is admitted although it outlasts the node
// that sent it, and against the refusal of others for that.
func TestEndBy(t *testing.T) {
	s := newStopTest(2, 2*time.Second)
	k := &Ticket{Rank: "history", Deadline: s.now.Add(time.Minute), EndBy: s.now.Add(time.Second)}
	s.m.Offer(s.now, k)
	require.Same(t, errOutlastsNode, k.Refusal())
	require.Equal(t, Admitted, s.offer(time.Minute).State())
}

// TestQueueAtStop guards against queued requests that are admitted too late to end
// before the node, or refused later than this is known.
func TestQueueAtStop(t *testing.T) {
	s := newStopTest(1, 2*time.Second)
	running, waiting, short := s.offer(time.Minute), s.offer(time.Minute), s.offer(9*time.Second)
	require.Equal(t, Admitted, running.State())
	require.Empty(t, s.m.StopAt(s.now, s.now.Add(10*time.Second)))
	require.Equal(t, Queued, waiting.State())
	work, known := waiting.rank.safeServiceTime(s.m.at(s.now), 10*time.Second)
	require.True(t, known)
	require.GreaterOrEqual(t, work, 2*time.Second)
	require.Less(t, work, 3*time.Second)
	latest := s.now.Add(10*time.Second - work)
	require.Empty(t, s.m.Tick(latest.Add(-1)))
	require.Equal(t, []*Ticket{waiting}, s.m.Tick(latest))
	require.Same(t, errOutlastsNode, waiting.Refusal())
	require.Equal(t, Queued, short.State(), "it ends at its deadline")
	require.Equal(t, []*Ticket{short}, s.m.Done(latest, running, 3*time.Second))
	require.Equal(t, Admitted, short.State())

	s = newStopTest(1, 2*time.Second)
	s.offer(time.Minute)
	waiting = s.offer(time.Minute)
	require.Equal(t, []*Ticket{waiting}, s.m.StopAt(s.now, s.now.Add(time.Second)), "known at once")

	s = newStopTest(1, 2*time.Second)
	s.m.StopAt(s.now, s.now.Add(5*time.Second))
	require.Equal(t, Admitted, s.offer(time.Minute).State())
	require.Equal(t, Queued, s.offer(time.Minute).State())
	require.Same(t, errOutlastsNode, s.offer(time.Minute).Refusal(), "its expected wait is too long")
}

// TestRunningWorkAtStop guards against a request that is admitted on the word of earlier
// ones although those in flight already take too long.
func TestRunningWorkAtStop(t *testing.T) {
	s := newStopTest(2, 100*time.Millisecond)
	s.offer(time.Minute)
	s.now = s.now.Add(3 * time.Second)
	s.m.StopAt(s.now, s.now.Add(5*time.Second))
	require.Same(t, errOutlastsNode, s.offer(time.Minute).Refusal())
}

// TestLongestService guards against a long request that is forgotten at the end of its
// period, or never.
func TestLongestService(t *testing.T) {
	var l longestService
	l.record(time.Second, 5*time.Second)
	l.record(longestPeriod+2*time.Second, time.Second)
	require.Equal(t, 5*time.Second, l.max())
	l.record(2*longestPeriod+4*time.Second, time.Second)
	require.Equal(t, time.Second, l.max())
}

// TestStopProperty guards against any order of events after which a request is admitted
// that may outlast the node.
func TestStopProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStopTest(rapid.IntRange(1, 3).Draw(t, "slots"), time.Duration(rapid.IntRange(1, 3000).Draw(t, "work"))*time.Millisecond)
		end := s.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "left")) * time.Millisecond)
		var running []*Ticket
		stopped := false
		check := func(ts ...*Ticket) {
			for _, k := range ts {
				if k.State() != Admitted {
					continue
				}
				running = append(running, k)
				if stopped && k.Deadline.After(end) {
					d, known := k.rank.safeServiceTime(s.m.at(s.now), end.Sub(s.now))
					require.True(t, known)
					require.False(t, s.now.Add(d).After(end))
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				check(s.offer(time.Duration(rapid.IntRange(1, 20000).Draw(t, "deadline")) * time.Millisecond))
			case 2:
				if n := len(running); n > 0 {
					k := running[n-1]
					running = running[:n-1]
					check(s.m.Done(s.now, k, time.Millisecond)...)
				}
			case 3:
				check(s.m.Tick(s.now)...)
			case 4:
				stopped = true
				check(s.m.StopAt(s.now, end)...)
			}
		}
	})
}

// TestSlowdownAfterStop guards against a waiting request that is admitted by an estimate
// from before its wait, although requests that ended since then show that it outlasts
// the node.
func TestSlowdownAfterStop(t *testing.T) {
	s := newStopTest(1, time.Second)
	s.m.StopAt(s.now, s.now.Add(10*time.Second))
	running, waiting := s.offer(time.Minute), s.offer(time.Minute)
	require.Equal(t, Admitted, running.State())
	require.Equal(t, Queued, waiting.State())
	s.now = s.now.Add(6 * time.Second)
	s.m.Done(s.now, running, 6*time.Second)
	require.Same(t, errOutlastsNode, waiting.Refusal())
}

// TestRareLongWorkAtStop guards against the admission of requests of a rank in which one
// request outlasted the remaining time among many that were short.
func TestRareLongWorkAtStop(t *testing.T) {
	s := newStopTest(2, 6*time.Second)
	for range 200 {
		k := s.offer(time.Minute)
		s.now = s.now.Add(10 * time.Millisecond)
		s.m.Done(s.now, k, 10*time.Millisecond)
	}
	s.m.StopAt(s.now, s.now.Add(5*time.Second))
	require.Same(t, errOutlastsNode, s.offer(time.Minute).Refusal())
}

// TestExpiryByEarlierEstimate guards against the refusal of a waiting request by an
// estimate that no longer holds when its time comes.
func TestExpiryByEarlierEstimate(t *testing.T) {
	s := newStopTest(2, 100*time.Millisecond)
	s.now = s.now.Add(9 * time.Second) // longer ago than the time that is left
	running := []*Ticket{s.offer(time.Minute), s.offer(time.Minute)}
	s.now = s.now.Add(4 * time.Second)
	s.m.StopAt(s.now, s.now.Add(9*time.Second)) // by the age of the work in flight, the last start is in 1 s
	next := []*Ticket{s.offer(time.Minute), s.offer(time.Minute)}
	waiting := s.offer(time.Minute)
	require.Equal(t, Queued, waiting.State(), waiting.Refusal())
	s.now = s.now.Add(200 * time.Millisecond)
	for i, k := range running {
		s.m.Done(s.now, k, 4200*time.Millisecond)
		require.Equal(t, Admitted, next[i].State())
	}
	s.now = s.now.Add(time.Second) // now the last start is in 3.6 s
	s.m.Tick(s.now)
	require.True(t, waiting.endsInTime(s.m.at(s.now)))
	require.Equal(t, Queued, waiting.State(), waiting.Refusal())
}

// TestShortHistoryAtStop guards against a long request that is admitted on the word of
// short ones, since no request of its length can have ended yet.
func TestShortHistoryAtStop(t *testing.T) {
	const left = 5 * time.Second
	s := newStopTest(2, 10*time.Millisecond)
	s.m.StopAt(s.now, s.now.Add(left))
	require.Same(t, errOutlastsNode, s.offer(time.Minute).Refusal())

	s = newStopTest(2, 10*time.Millisecond)
	s.now = s.now.Add(left)
	s.m.StopAt(s.now, s.now.Add(left))
	require.Equal(t, Admitted, s.offer(time.Minute).State())
}
