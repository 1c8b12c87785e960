package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// endNoticeTimeout bounds one notice to one gate.
	endNoticeTimeout = 500 * time.Millisecond
	// endNoticeDelay is the time until the second notice, for requests that the first
	// one has overtaken.
	endNoticeDelay = 150 * time.Millisecond
	// endNoticeInterval is the time until a notice is repeated that a gate has not
	// answered.
	endNoticeInterval = 500 * time.Millisecond
)

// pendingAttempts holds the attempts that were started before PrepareStop and have not
// ended, with the value of their mesh.CallHeader. An attempt ends with the last byte of its
// response.
type pendingAttempts struct {
	mu    sync.Mutex
	calls map[*attempt]string
}

func (p *pendingAttempts) add(a *attempt, callID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls == nil {
		p.calls = make(map[*attempt]string)
	}
	p.calls[a] = callID
}

func (p *pendingAttempts) remove(a *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, a)
}

func (p *pendingAttempts) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.calls) == 0
}

// byGate returns the calls by the address of their gate.
func (p *pendingAttempts) byGate() map[mesh.Addr][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := make(map[mesh.Addr][]string)
	for a, id := range p.calls {
		calls[a.endpoint.Addr] = append(calls[a.endpoint.Addr], id)
	}
	return calls
}

// LimitPending notifies the gates of requests that were sent before PrepareStop of the
// end of this node. Those that are queued and cannot end before it are refused there, and
// the bodies of the others are sent before it. It returns when two notices in a row have
// been answered by all gates, when these requests have ended or when ctx ends.
func (c *Caller) LimitPending(ctx context.Context) {
	by := c.stopBy.Load()
	if by == nil {
		return
	}
	answered := 0
	for delay := endNoticeDelay; !c.pending.empty(); delay = endNoticeInterval {
		if answered++; !c.noticeEnd(ctx, *by) {
			answered = 0
		}
		if answered == 2 || wait.For(ctx, delay) != nil {
			return
		}
	}
}

// noticeEnd sends one notice to each gate with pending attempts. It reports whether all of
// them answered.
func (c *Caller) noticeEnd(ctx context.Context, by time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, endNoticeTimeout)
	defer cancel()
	var sent sync.WaitGroup
	var failed atomic.Bool
	for addr, calls := range c.pending.byGate() {
		sent.Go(func() {
			if err := c.sendEndNotice(ctx, addr, by, calls); err != nil {
				failed.Store(true)
				c.cfg.Log.Info("failed to notify a gate of the end of this node", zap.String("gate", string(addr)), zap.Error(err))
			}
		})
	}
	sent.Wait()
	return !failed.Load()
}

func (c *Caller) sendEndNotice(ctx context.Context, addr mesh.Addr, by time.Time, calls []string) error {
	left := max(time.Until(by.Add(-stopMargin)), 0)
	body := strings.NewReader(strings.Join(calls, "\n"))
	resp, _, err := c.notices.RoundTrip(ctx, &http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: string(addr), Path: "/"},
		Header: http.Header{
			mesh.HopHeader:  {c.cfg.HopToken},
			mesh.WantHeader: {mesh.WantEnd},
			mesh.EndHeader:  {strconv.FormatInt(left.Milliseconds(), 10)},
		},
		Body:          io.NopCloser(body),
		ContentLength: int64(body.Len()),
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
