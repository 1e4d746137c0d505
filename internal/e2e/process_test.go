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

// programs are the built programs, made once for the package.
var programs = sync.OnceValues(func() (string, error) {
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

// buildDir is set by TestMain and removed by it.
var buildDir string

// process is one running program.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	done chan error

	mu  sync.Mutex
	log bytes.Buffer
}

// start runs a program and waits for the line that tells its addresses.
func start(t *testing.T, name string, args ...string) (p *process, addresses map[string]string) {
	t.Helper()
	dir, err := programs()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), dir)
	return startFrom(t, dir, name, args...)
}

// startFrom is start for a program in a given folder.
func startFrom(t *testing.T, dir, name string, args ...string) (p *process, addresses map[string]string) {
	t.Helper()
	g := NewWithT(t)
	p = &process{t: t, cmd: exec.Command(filepath.Join(dir, name), args...), done: make(chan error, 1)}
	out, err := p.cmd.StderrPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(p.cmd.Start()).To(Succeed())
	lines := make(chan map[string]string, 1)
	go p.read(out, lines)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	g.Eventually(lines, 20*time.Second).Should(Receive(&addresses), "%s: %s", name, p)
	return p, addresses
}

var addressField = regexp.MustCompile(`(callers|admin)=(\S+)`)

func (p *process) read(out io.Reader, lines chan<- map[string]string) {
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
	p.done <- p.cmd.Wait()
	close(p.done)
}

// String returns what the process logged.
func (p *process) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	NewWithT(p.t).Expect(p.cmd.Process.Signal(s)).To(Succeed())
}
