package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestExamples guards against examples that the daemon does not accept.
func TestExamples(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../examples/*.toml")
	is.NoErr(err)
	files = append(files, "../../examples/local/daemon.toml")
	is.NoErr(err)
	is.Equal(len(files), 3)
	for _, f := range files {
		is.Equal(Run([]string{"check-config", f}), 0)
	}
}

// TestExitCode guards against wrong settings that look like another failure.
func TestExitCode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte("Hots = 1\n"), 0o600))
	for _, args := range [][]string{{"check-config", path}, {"run", "--config", path}, {"run", "--config", path + ".absent"}} {
		t.Run(args[0], func(t *testing.T) { is.New(t).Equal(Run(args), exitSettings) })
	}
}
