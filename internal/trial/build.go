package trial

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
)

// RaceEnv is the environment variable that, if not empty, makes Build use the
// race detector.
const RaceEnv = "LAVENDERRILL_TRIAL_RACE"

// Binaries are the paths of built programs.
type Binaries struct {
	Node    string // lavenderrill
	Standin string
}

var build = struct {
	sync.Mutex
	dir string
}{}

// Build builds the programs of this module with go build, once per process,
// into a temporary directory that RemoveBuilds deletes.
func Build(ctx context.Context) (Binaries, error) {
	build.Lock()
	defer build.Unlock()
	if build.dir != "" {
		return binaries(build.dir), nil
	}
	if err := visitSources(); err != nil {
		return Binaries{}, err
	}
	dir, err := os.MkdirTemp("", "lavenderrill-trial-")
	if err != nil {
		return Binaries{}, err
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(RaceEnv) != "" {
		args = append(args, "-race")
	}
	cmd := exec.CommandContext(ctx, "go", append(args, "./cmd/...")...)
	cmd.Dir = moduleDir()
	if out, err := cmd.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return Binaries{}, fmt.Errorf("go build: %w\n%s", err, out)
	}
	build.dir = dir
	return binaries(dir), nil
}

// visitSources opens the directories of all sources. The go command takes a
// cached test result as valid unless a file that the test opened has changed,
// and it does not see what the go build of the programs reads.
func visitSources() error {
	for _, dir := range []string{"cmd", "internal", "pkg", "platform", "examples"} {
		err := filepath.WalkDir(filepath.Join(moduleDir(), dir), func(string, fs.DirEntry, error) error { return nil })
		if err != nil {
			return err
		}
	}
	return nil
}

// RemoveBuilds deletes what Build built.
func RemoveBuilds() error {
	build.Lock()
	defer build.Unlock()
	dir := build.dir
	build.dir = ""
	if dir == "" {
		return nil
	}
	return os.RemoveAll(dir)
}

func binaries(dir string) Binaries {
	return Binaries{Node: filepath.Join(dir, "lavenderrill"), Standin: filepath.Join(dir, "standin")}
}

// moduleDir returns the directory of go.mod, two above this file.
func moduleDir() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}
