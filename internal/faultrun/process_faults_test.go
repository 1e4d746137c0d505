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

// Callers book with keys and tickets through two daemons, resending to either.
// Meanwhile one daemon after the other is killed and started again or stopped
// for a while, and so are the ledger and the platform stopped. What the ledger
// executed is held against what the callers were told.
func TestFaultRunOfProcesses(t *testing.T) {
	t.Parallel()
	p := build(t)
	hosts, ledger, platform := p.deployment()
	run := &processRun{processes: p, hosts: hosts, ledger: NewLedger()}
	next := make(chan int)
	var wg sync.WaitGroup
	for range processCallers {
		wg.Go(func() {
			for i := range next {
				run.operate(rand.New(rand.NewPCG(*seedFlag, uint64(i))), i)
			}
		})
	}
	r := rand.New(rand.NewPCG(*seedFlag, 0))
	for i := range *processesFlag {
		next <- i
		switch i % 8 {
		case 1:
			run.restart(r.IntN(len(hosts)))
		case 3:
			run.pause(run.host(r.IntN(len(hosts))).cmd.Process.Pid)
		case 5:
			run.pause(platform.Process.Pid)
		}
	}
	close(next)
	wg.Wait()
	p.g.Eventually(func() bool { return run.counted(ledger) }, 5*time.Second).Should(BeTrue())
	report := run.ledger.Judge(*seedFlag, nil)
	t.Logf("%+v", report)
	p.g.Expect(report.Broken.Sum()).To(BeZero())
	p.g.Expect(report.Completed).To(BeNumerically(">", *processesFlag/4))
}

type processRun struct {
	*processes
	ledger *Ledger

	mu     sync.Mutex
	hosts  []*daemon
	counts map[string]int
}

func (r *processRun) host(i int) daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.hosts[i]
}

// restart kills daemon i and starts a new incarnation.
func (r *processRun) restart(i int) {
	d := r.host(i)
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	d.cmd = r.start("bilberryd", d.args...)
	r.mu.Lock()
	r.hosts[i] = &d
	r.mu.Unlock()
}

// pauseTime is longer than a booking takes.
const pauseTime = 500 * time.Millisecond

func (r *processRun) pause(pid int) {
	_ = syscall.Kill(pid, syscall.SIGSTOP)
	<-time.After(pauseTime)
	_ = syscall.Kill(pid, syscall.SIGCONT)
}

func (r *processRun) operate(rnd *rand.Rand, i int) {
	op := Operation{Token: fmt.Sprint("op", i), Name: "transfer"}
	key := "key-" + op.Token
	if rnd.IntN(2) == 0 {
		d := r.host(rnd.IntN(2))
		if text := ticketOf(&d); text != "" {
			key = text
		}
	}
	for range maxSends {
		d := r.host(rnd.IntN(2))
		a := sendTo(&d, key, op.Token)
		a.Sent = key
		op.Sends = append(op.Sends, a)
		if a.Whole {
			break
		}
	}
	r.ledger.Close(op)
}

func ticketOf(d *daemon) string {
	resp, err := d.post(entry.TicketPath, "", "", "")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var t entry.Ticket
	_ = json.NewDecoder(resp.Body).Decode(&t)
	return t.Ticket
}

func sendTo(d *daemon, key, token string) Answer {
	resp, err := d.post("/transfer", key, "", fmt.Sprintf(`{"token":%q}`, token))
	if err != nil {
		return Answer{Kind: "connection"}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Kind: "connection"}
	}
	if resp.StatusCode != http.StatusOK {
		var problem entry.Problem
		_ = json.Unmarshal(data, &problem)
		return Answer{Ran: Ran(problem.Ran), Kind: string(problem.Kind)}
	}
	var a service.Response
	var in work
	right := json.Unmarshal(data, &a) == nil && json.Unmarshal(a.Input, &in) == nil
	if in.Token != token {
		return Answer{Whole: true, Token: "another operation"}
	}
	return Answer{Whole: true, Token: key, Right: right}
}

// counted takes the ledger's counts over once they have come to rest.
func (r *processRun) counted(ledger string) bool {
	counts := executed(r.g, ledger)
	rest := fmt.Sprint(counts) == fmt.Sprint(r.counts)
	r.counts = counts
	if !rest {
		return false
	}
	for operation, n := range counts {
		key := strings.TrimSuffix(strings.TrimPrefix(operation, "/"), "/book") // of no account
		r.ledger.Receive(key)
		for range n {
			r.ledger.Execute(key)
		}
	}
	return true
}
