package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyTimeout bounds the wait for the line that a process prints when its
// listeners are up.
const readyTimeout = 20 * time.Second

// Process is a child process.
type Process struct {
	Name string
	Log  string // path of the file with its output

	cmd  *exec.Cmd
	done chan struct{} // closed when it ended
	err  error         // of Wait, set before done is closed
}

// starts runs the starts of all processes on one operating system thread that
// never ends. A child is killed when the thread that started it ends, so that
// no child outlives this process even if it is killed.
var starts = sync.OnceValue(func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

func startCommand(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err := make(chan error)
	starts() <- func() { err <- cmd.Start() }
	return <-err
}

// start starts a program and decodes the JSON line that it prints when it is
// ready into addrs.
func start(ctx context.Context, name, logPath string, env []string, addrs any, path string, args ...string) (*Process, error) {
	p, r, log, err := spawn(name, logPath, env, path, args)
	if err != nil {
		return nil, err
	}
	line := make(chan []byte, 1)
	output := make(chan struct{})
	go func() {
		defer close(output)
		br := bufio.NewReader(r)
		b, _ := br.ReadBytes('\n')
		line <- b
		_, _ = io.Copy(log, br)
	}()
	go p.wait(output, r, log)
	if err := p.ready(ctx, line, addrs); err != nil {
		_ = p.Kill()
		return nil, err
	}
	return p, nil
}

// Launch starts a program whose output is its log.
func Launch(name, logPath string, env []string, path string, args ...string) (*Process, error) {
	p, r, log, err := spawn(name, logPath, env, path, args)
	if err != nil {
		return nil, err
	}
	output := make(chan struct{})
	go func() {
		defer close(output)
		_, _ = io.Copy(log, r) // ends with the process
	}()
	go p.wait(output, r, log)
	return p, nil
}

// spawn starts a program with its errors in the file at logPath. Its output can
// be read from the pipe.
func spawn(name, logPath string, env []string, path string, args []string) (*Process, *os.File, *os.File, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, nil, nil, err
	}
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = log
	r, w, err := os.Pipe()
	if err != nil {
		_ = log.Close()
		return nil, nil, nil, err
	}
	cmd.Stdout = w
	err = startCommand(cmd)
	_ = w.Close()
	if err != nil {
		_, _ = log.Close(), r.Close()
		return nil, nil, nil, fmt.Errorf("start %s: %w", name, err)
	}
	return &Process{Name: name, Log: logPath, cmd: cmd, done: make(chan struct{})}, r, log, nil
}

// wait waits for the end of p, and of its output, and closes the files.
func (p *Process) wait(output <-chan struct{}, files ...*os.File) {
	p.err = p.cmd.Wait()
	<-output
	for _, f := range files {
		_ = f.Close()
	}
	close(p.done)
}

func (p *Process) ready(ctx context.Context, line <-chan []byte, addrs any) error {
	t := time.NewTimer(readyTimeout)
	defer t.Stop()
	select {
	case b := <-line:
		if err := json.Unmarshal(b, addrs); err != nil {
			return fmt.Errorf("%s did not print its addresses: %w\n%s", p.Name, err, p.Tail())
		}
		return nil
	case <-t.C:
		return fmt.Errorf("%s was not ready after %v\n%s", p.Name, readyTimeout, p.Tail())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tailSize is the length of the part of a log that Tail returns, in bytes.
const tailSize = 4 << 10

// Tail returns the end of the log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.Log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-tailSize):])
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends s. It returns os.ErrProcessDone if the process has ended.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits for the end. It returns nil if the process had
// ended before.
func (p *Process) Kill() error {
	if p.Ended() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-p.done
	return nil
}

// Freeze stops the process with SIGSTOP and waits until all its threads have
// stopped, which a busy machine delays; Resume continues it.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for !p.Ended() && !p.stopped() {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// stopped reports whether every thread of p is in the stopped state.
func (p *Process) stopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil {
		return false
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		// The state follows the name, which is in parentheses.
		_, state, _ := strings.Cut(string(b), ") ")
		if err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits for the end. It returns an error if the process
// ends with a code other than 0 or not before ctx ends.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		return fmt.Errorf("stop %s: %w\n%s", p.Name, ctx.Err(), p.Tail())
	}
	if p.err != nil {
		return fmt.Errorf("stop %s: %w\n%s", p.Name, p.err, p.Tail())
	}
	return nil
}
