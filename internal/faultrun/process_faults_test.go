package faultrun

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bilberrydale/internal/standin/service"
	"bilberrydale/request/entry"
)

const processCallers = 4

// Callers book with keys and tickets through two daemons and resend to either of
// them. Meanwhile daemons are killed and restarted or paused, and the platform is
// paused. The executions of the ledger service are compared with the responses
// that the callers got.
func TestFaultRunOfProcesses(t *testing.T) {
	t.Parallel()
	p := buildPrograms(t)
	hosts, ledgerAddress, platform := p.startDeployment()
	run := &processRun{processEnvironment: p, hosts: hosts, recorder: NewRecorder()}
	indexes := make(chan int)
	var wg sync.WaitGroup
	for range processCallers {
		wg.Go(func() {
			for i := range indexes {
				run.runOperation(rand.New(rand.NewPCG(*seedFlag, uint64(i))), i)
			}
		})
	}
	r := rand.New(rand.NewPCG(*seedFlag, 0))
	for i := range *processesFlag {
		indexes <- i
		switch i % 8 {
		case 1:
			run.restart(r.IntN(len(hosts)))
		case 3:
			run.pause(run.host(r.IntN(len(hosts))).cmd.Process.Pid)
		case 5:
			run.pause(platform.Process.Pid)
		}
	}
	close(indexes)
	wg.Wait()
	p.g.Eventually(func() bool { return run.recordStableCounts(ledgerAddress) }, 5*time.Second).Should(BeTrue())
	report := run.recorder.Check(*seedFlag, nil)
	t.Logf("%+v", report)
	p.g.Expect(report.Violations.Total()).To(BeZero())
	p.g.Expect(report.Completed).To(BeNumerically(">", *processesFlag/4))
}

type processRun struct {
	*processEnvironment
	recorder *Recorder

	mu     sync.Mutex
	hosts  []*daemon
	counts map[string]int
}

func (r *processRun) host(i int) daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.hosts[i]
}

// restart kills daemon i with SIGKILL and starts a new incarnation.
func (r *processRun) restart(i int) {
	d := r.host(i)
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.cmd = r.start("bilberryd", d.args...)
	r.mu.Lock()
	r.hosts[i] = &d
	r.mu.Unlock()
}

// pauseDuration is longer than a booking takes (300 ms).
const pauseDuration = 500 * time.Millisecond

func (r *processRun) pause(pid int) {
	_ = syscall.Kill(pid, syscall.SIGSTOP)
	<-time.After(pauseDuration)
	_ = syscall.Kill(pid, syscall.SIGCONT)
}

func (r *processRun) runOperation(rnd *rand.Rand, i int) {
	op := Operation{Token: fmt.Sprint("op", i), Route: "transfer"}
	key := "key-" + op.Token
	if rnd.IntN(2) == 0 {
		d := r.host(rnd.IntN(2))
		if text := mintTicketFrom(&d); text != "" {
			key = text
		}
	}
	for range maxSends {
		d := r.host(rnd.IntN(2))
		resp := sendTransfer(&d, key, op.Token)
		resp.Sent = key
		op.Responses = append(op.Responses, resp)
		if resp.Whole {
			break
		}
	}
	r.recorder.RecordOperation(op)
}

func mintTicketFrom(d *daemon) string {
	resp, err := d.post(entry.TicketPath, "", "", "")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var t entry.Ticket
	_ = json.NewDecoder(resp.Body).Decode(&t)
	return t.Ticket
}

func sendTransfer(d *daemon, key, token string) Response {
	resp, err := d.post("/transfer", key, "", fmt.Sprintf(`{"token":%q}`, token))
	if err != nil {
		return Response{Kind: "connection"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{Kind: "connection"}
	}
	if resp.StatusCode != http.StatusOK {
		var problem entry.Problem
		_ = json.Unmarshal(data, &problem)
		return Response{Ran: Ran(problem.Ran), Kind: string(problem.Kind)}
	}
	var booking service.Response
	var in operationBody
	right := json.Unmarshal(data, &booking) == nil && json.Unmarshal(booking.Input, &in) == nil
	if in.Token != token {
		return Response{Whole: true, Token: "another operation"}
	}
	return Response{Whole: true, Token: key, Right: right}
}

// recordStableCounts records the executions of the ledger service once two
// successive reads agree, and returns whether they did.
func (r *processRun) recordStableCounts(ledgerAddress string) bool {
	counts := executionCounts(r.g, ledgerAddress)
	stable := fmt.Sprint(counts) == fmt.Sprint(r.counts)
	r.counts = counts
	if !stable {
		return false
	}
	for operation, n := range counts {
		key := strings.TrimSuffix(strings.TrimPrefix(operation, "/"), "/book") // the client account is empty
		r.recorder.RecordReceived(key)
		for range n {
			r.recorder.RecordExecution(key)
		}
	}
	return true
}
