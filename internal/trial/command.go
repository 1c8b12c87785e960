package trial

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"

	"lavenderrill.dev/lavenderrill/internal/settings"
)

// Output is the result of an operator command.
type Output struct {
	Stdout, Stderr string
	ExitCode       int // exit code
}

// RunCommand runs an operator command with the token of the mesh. A non-zero
// exit code is not an error.
func (m *Mesh) RunCommand(ctx context.Context, args ...string) (Output, error) {
	cmd := exec.CommandContext(ctx, m.bin.Node, args...)
	cmd.Env = append(os.Environ(), settings.TokenEnv+"="+Token)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := startCommand(cmd)
	if err == nil {
		err = cmd.Wait()
	}
	o := Output{Stdout: out.String(), Stderr: errOut.String()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		o.ExitCode = exit.ExitCode()
		return o, ctx.Err()
	}
	return o, err
}
