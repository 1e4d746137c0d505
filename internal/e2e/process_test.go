package e2e

import (
	"bufio"
	"bytes"
	"io"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// buildPrograms builds all programs into buildDir, once per test run, and returns
// the folder. On an error it returns the output of the compiler instead.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := filepath.Abs(buildDir)
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "bilberrydale/cmd/...").CombinedOutput()
	if err != nil {
		return string(out), err
	}
	return dir, nil
})

// buildDir is a temporary folder that TestMain creates and removes.
var buildDir string

// process is a running program and its log output.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan error

	mu  sync.Mutex
	log bytes.Buffer
}

// start runs a program of this build and waits for the log line with its
// addresses, which it returns by name: "callers" and "admin".
func start(t *testing.T, name string, args ...string) (p *process, addresses map[string]string) {
	t.Helper()
	dir, err := buildPrograms()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), dir)
	return startFrom(t, dir, name, args...)
}

// startFrom is start for a program in the folder dir.
func startFrom(t *testing.T, dir, name string, args ...string) (p *process, addresses map[string]string) {
	t.Helper()
	g := NewWithT(t)
	p = &process{t: t, cmd: exec.Command(filepath.Join(dir, name), args...), exited: make(chan error, 1)}
	out, err := p.cmd.StderrPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.cmd.Start()).To(Succeed())
	lines := make(chan map[string]string, 1)
	go p.readLog(out, lines)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	g.Eventually(lines, 20*time.Second).Should(Receive(&addresses), "%s: %s", name, p)
	return p, addresses
}

var addressField = regexp.MustCompile(`(callers|admin)=(\S+)`)

// readLog collects the log lines of the process, sends the addresses of the first
// line that has some to lines, and reports the exit of the process on p.exited.
func (p *process) readLog(out io.Reader, lines chan<- map[string]string) {
	scan := bufio.NewScanner(out)
	for scan.Scan() {
		p.mu.Lock()
		p.log.WriteString(scan.Text() + "\n")
		p.mu.Unlock()
		found := map[string]string{}
		for _, m := range addressField.FindAllStringSubmatch(scan.Text(), -1) {
			found[m[1]] = m[2]
		}
		if len(found) > 0 {
			select {
			case lines <- found:
			default:
			}
		}
	}
	p.exited <- p.cmd.Wait()
	close(p.exited)
}

// String returns the log output of the process so far.
func (p *process) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	NewWithT(p.t).Expect(p.cmd.Process.Signal(s)).To(Succeed())
}
