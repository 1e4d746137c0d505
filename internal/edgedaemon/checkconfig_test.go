package edgedaemon

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
	"bilberrydale/version/plan"
)

// write writes a file and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// newConfig returns a sound configuration.
func newConfig(version int64, timeout time.Duration, service string) plan.Config {
	return plan.Config{
		Version:  version,
		Routes:   []plan.Route{{Name: "status", Host: "a.example", PathPrefix: "/", Kind: plan.Safe, MaxAttempts: 1, Timeout: timeout, Targets: []plan.Target{{Service: service, Weight: 1}}}},
		Services: []plan.Service{{Name: "ledger"}},
	}
}

// writeConfig writes a configuration and returns the path of the file.
func writeConfig(t *testing.T, name string, c plan.Config) string {
	t.Helper()
	data, err := platformtest.ConfigFile(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return write(t, name, string(data))
}

// Guards against an error that is told but does not fail the command, and against a sound
// configuration that does.
func TestCheckConfig(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	check := configCheck{path: writeConfig(t, "new", newConfig(5, 1500*time.Millisecond, "ledger")), inForce: writeConfig(t, "old", newConfig(4, time.Second, "ledger"))}
	g.Expect(check.run(&out)).To(Succeed())
	g.Expect(out.String()).To(Equal("route status: Timeout: 1.5s, was 1s\n"))

	out.Reset()
	check.path = writeConfig(t, "faulty", newConfig(4, time.Second, "leger"))
	g.Expect(check.run(&out)).To(MatchError(errConfigFaulty))
	g.Expect(out.String()).To(And(
		ContainSubstring(`error: route status: service "leger" is not defined`),
		ContainSubstring("version 4 is not newer than 4"),
		ContainSubstring("warning: service ledger: no route uses it"),
	))

	alone := configCheck{path: check.path}
	g.Expect(alone.run(&out)).To(MatchError(errConfigFaulty), "without a version in force")

	check.path = write(t, "broken", `{"version": "4"}`)
	g.Expect(check.run(&out)).To(MatchError(ContainSubstring("cannot unmarshal")))
	check.path = filepath.Join(t.TempDir(), "missing")
	g.Expect(check.run(&out)).To(MatchError(os.ErrNotExist))
}
