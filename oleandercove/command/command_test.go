package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against example settings that the daemon rejects.
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

// Guards against a settings template for the platform with keys that the daemon doesn't
// know.
func TestRouteSettings(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../../deploy/router.toml")
	is.NoErr(err)
	values := map[string]string{
		"node_name": "edge-1", "zone": "a", "ip": "10.0.0.1", "port_range|json": "[7340,7355]", "seeds|json": `["10.0.0.1:8229"]`,
		"platform.address": "10.0.0.9:80", "listen.frontend": "10.0.0.1:81", "listen.ready": "10.0.0.1:82", "limits.cores": "1",
		"limits.memory_mb": "284", "limits.cpu_share": "0.4", "limits.link_mbps": "200", "bounds.revoke_ms": "5000",
		"bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "202",
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	is.True(!strings.Contains(text, "{{"))
	path := filepath.Join(t.TempDir(), "router.toml")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	is.Equal(Run([]string{"check-config", "--route", path}), 0)
	is.NoErr(os.WriteFile(path, []byte(strings.ReplaceAll(text, "Cores = 1", "Cores = 0")), 0o600))
	is.Equal(Run([]string{"check-config", "--route", path}), exitSettings)
}

// Guards against invalid settings that exit with the code of another failure.
func TestExitCode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.toml")
	is.New(t).NoErr(os.WriteFile(path, []byte("Hots = 1\n"), 0o600))
	for _, args := range [][]string{{"check-config", path}, {"run", "--config", path}, {"run", "--config", path + ".absent"}} {
		t.Run(args[0], func(t *testing.T) { is.New(t).Equal(Run(args), exitSettings) })
	}
}
