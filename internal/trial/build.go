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

// RaceEnv is the environment variable that, if not empty, makes Build enable the
// race detector.
const RaceEnv = "LAVENDERRILL_TRIAL_RACE"

// Binaries holds the paths of the built programs.
type Binaries struct {
	Node    string // lavenderrill
	Standin string
}

var build = struct {
	sync.Mutex
	dir string
}{}

// Build runs go build for the programs of this module, once per process. The
// output is in a temporary directory that RemoveBuilds deletes.
func Build(ctx context.Context) (Binaries, error) {
	build.Lock()
	defer build.Unlock()
	if build.dir != "" {
		return binaries(build.dir), nil
	}
	if err := openSourceDirs(); err != nil {
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

// openSourceDirs walks the directories of all sources. The go command reuses a
// cached test result unless a file that the test opened has changed, and it does
// not see which files the go build of the programs reads.
func openSourceDirs() error {
	for _, dir := range []string{"cmd", "internal", "pkg", "platform", "examples"} {
		err := filepath.WalkDir(filepath.Join(moduleDir(), dir), func(string, fs.DirEntry, error) error { return nil })
		if err != nil {
			return err
		}
	}
	return nil
}

// RemoveBuilds deletes the output of Build.
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

// moduleDir returns the directory of go.mod, two levels above this package.
func moduleDir() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}
