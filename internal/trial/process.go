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

// readyTimeout is the maximum time until a process prints the line that says
// that its listeners are open.
const readyTimeout = 20 * time.Second

// Process is a child process.
type Process struct {
	Name string
	Log  string // path of the log file

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of Wait, set before done is closed
}

// startQueue starts all processes from one operating system thread that never
// ends. Pdeathsig kills a child when the thread that started it ends, so no
// child outlives this process, even if it is killed.
var startQueue = sync.OnceValue(func() chan<- func() {
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
	startQueue() <- func() { err <- cmd.Start() }
	return <-err
}

// startProcess starts a program and decodes the JSON line that it prints when it
// is ready into addrs.
func startProcess(ctx context.Context, name, logPath string, env []string, addrs any, path string, args ...string) (*Process, error) {
	p, r, log, err := spawn(name, logPath, env, path, args)
	if err != nil {
		return nil, err
	}
	line := make(chan []byte, 1)
	outputDone := make(chan struct{})
	go func() {
		defer close(outputDone)
		br := bufio.NewReader(r)
		b, _ := br.ReadBytes('\n')
		line <- b
		_, _ = io.Copy(log, br)
	}()
	go p.wait(outputDone, r, log)
	if err := p.awaitReady(ctx, line, addrs); err != nil {
		_ = p.Kill()
		return nil, err
	}
	return p, nil
}

// Launch starts a program and writes its output to the log.
func Launch(name, logPath string, env []string, path string, args ...string) (*Process, error) {
	p, r, log, err := spawn(name, logPath, env, path, args)
	if err != nil {
		return nil, err
	}
	outputDone := make(chan struct{})
	go func() {
		defer close(outputDone)
		_, _ = io.Copy(log, r) // ends with the process
	}()
	go p.wait(outputDone, r, log)
	return p, nil
}

// spawn starts a program whose standard error goes to the file at logPath. It
// returns the read end of a pipe with its standard output, and the log file.
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

// wait waits until p has ended and its output is read, and closes the files.
func (p *Process) wait(outputDone <-chan struct{}, files ...*os.File) {
	p.err = p.cmd.Wait()
	<-outputDone
	for _, f := range files {
		_ = f.Close()
	}
	close(p.done)
}

func (p *Process) awaitReady(ctx context.Context, line <-chan []byte, addrs any) error {
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

// tailSize is the maximum length of the result of Tail, in bytes.
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

// Kill sends SIGKILL and waits until the process ends. It returns nil if the
// process has already ended.
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
// stopped, which can take a while on a busy machine. Resume continues it.
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

// Stop sends SIGTERM and waits until the process ends. It returns an error if
// the exit code is not 0 or ctx ends first.
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
