package pause

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minPause is the shortest time without a tick that counts as a pause. A processor
	// quota may stop a process for tenths of a second.
	minPause = time.Second
	// aftermath is the time after a pause in which requests are read that arrived during
	// it.
	aftermath = 200 * time.Millisecond
)

// Detector detects pauses of the process. Its methods may be called concurrently.
type Detector struct {
	now   func() time.Duration
	last  atomic.Int64 // time of the last tick
	until atomic.Int64 // end of the aftermath of the last pause
}

// Config holds the settings of a Detector.
type Config struct {
	// Now returns the time since a fixed moment. It goes on while the VM is suspended,
	// unlike the clock of the runtime. SinceBoot if nil.
	Now func() time.Duration
}

// New returns a Detector. The owner calls Tick several times a second.
func New(c Config) *Detector {
	if c.Now == nil {
		c.Now = SinceBoot
	}
	d := &Detector{now: c.Now}
	d.last.Store(int64(d.now()))
	return d
}

// SinceBoot returns the time since the VM was started, suspensions included, or 0 if the
// system cannot tell.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Tick records that the process runs. It returns the length of the pause that has just
// ended, or 0.
func (d *Detector) Tick() time.Duration {
	now := d.now()
	gap := now - time.Duration(d.last.Swap(int64(now)))
	if gap < minPause {
		return 0
	}
	d.until.Store(int64(now + aftermath))
	return gap
}

// Recent reports whether the process was paused and a request that is read now may have
// arrived before the end of the pause.
func (d *Detector) Recent() bool {
	now := d.now()
	return now-time.Duration(d.last.Load()) >= minPause || now < time.Duration(d.until.Load())
}
