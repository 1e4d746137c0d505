package faultrun

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "bilberrydale/internal/standin/platform"
)

var (
	seedFlag       = flag.Uint64("faults.seed", 1, "seed of the first fault run")
	runsFlag       = flag.Int("faults.runs", 1, "number of runs, each with the next seed")
	operationsFlag = flag.Int("faults.n", 300, "operations of a run")
	processesFlag  = flag.Int("faults.processes", 24, "operations of the run with real processes")
	outFlag        = flag.String("faults.out", "", "file for the reports as JSON")
)

const (
	hostCount         = 4
	serverCount       = 4
	concurrentCallers = 16
	maxSends          = 4
)

// Callers send transfers, drafts and chats. They resend operations without a
// final response to other hosts, and send some to two hosts at once. Meanwhile
// hosts and servers are killed, frozen and disconnected from each other and from
// the platform, with at most two faults at a time. Each caller has to get the
// complete response to its own operation or a correct error.
func TestFaultRun(t *testing.T) {
	var reports []Report
	for i := range *runsFlag {
		r := faultRun(t, *seedFlag+uint64(i), *operationsFlag, false)
		r.Print(os.Stdout)
		reports = append(reports, r)
		if r.Violations.Total() > 0 {
			t.Errorf("seed %d: violated guarantees: %+v", r.Seed, r.Violations)
		}
		NewWithT(t).Expect(r.Completed).To(BeNumerically(">", r.Operations/4), "too few operations completed for the run to be meaningful")
	}
	if *outFlag != "" {
		NewWithT(t).Expect(WriteReports(*outFlag, reports)).To(Succeed())
	}
}

// Seeds that failed once. Seed 5: the resend of a quarantined request got "not
// run" although the request had run. Seed 12: the same happened to one of two
// concurrent sends. Seed 1, the default of TestFaultRun: a key was released
// after its check stage had run.
func TestPreviouslyFailingSeeds(t *testing.T) {
	for _, seed := range []uint64{5, 12} {
		r := faultRun(t, seed, 150, false)
		NewWithT(t).Expect(r.Violations).To(BeZero(), "seed %d: %v", seed, r.Examples)
	}
}

// With claims in memory and without quarantine, a fault run has to detect
// duplicate executions. Otherwise a pass of TestFaultRun would prove nothing.
func TestFaultRunDetectsViolationsOfBaseline(t *testing.T) {
	r := faultRun(t, 1, 200, true)
	NewWithT(t).Expect(r.Violations.Duplicated).To(BeNumerically(">", 0))
}

func faultRun(t *testing.T, seed uint64, n int, baseline bool) Report {
	env := newEnvironment(t, hostCount, serverCount)
	// The random picker continues to send to failing servers.
	env.randomPicker, env.deadline = seed%2 == 1, shortDeadline
	env.restartHosts(baseline)
	inj := &faultInjector{environment: env, steps: Plan(seed, n, hostCount, serverCount), counts: map[string]int{}}
	var wg sync.WaitGroup
	indexes := make(chan int)
	for range concurrentCallers {
		wg.Go(func() {
			for i := range indexes {
				env.runOperation(rand.New(rand.NewPCG(seed, uint64(i))), i)
				inj.operationDone()
			}
		})
	}
	for i := range n {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	inj.endAll()
	// Attempts whose callers already got a response may still be running.
	<-time.After(runnerOptions().LateResultTimeout)
	return env.recorder.Check(seed, inj.counts)
}

// runOperation sends one operation until it gets a complete response or maxSends
// is reached. Some operations with a key are first sent to two hosts at once.
func (env *environment) runOperation(r *rand.Rand, i int) {
	op := Operation{Token: fmt.Sprint("op", i), Route: "draft", Repeatable: true}
	key := ""
	kind := r.IntN(6)
	switch kind {
	case 0:
	case 1:
		op.Route = "chat"
	default:
		op.Route, op.Repeatable = "transfer", false
	}
	from := r.IntN(hostCount)
	switch kind {
	case 2, 3:
		key = "key-" + op.Token
	case 4:
		key = env.mintTicket(from)
	}
	sends := 1
	if key != "" || op.Repeatable {
		sends = maxSends
	}
	if key != "" && r.IntN(4) == 0 {
		op.Responses = env.sendTwice(r, &op, key)
	}
	for len(op.Responses) < sends {
		resp := env.send(from, &op, key)
		op.Responses = append(op.Responses, resp)
		if resp.Whole {
			break
		}
		from = r.IntN(hostCount)
	}
	env.recorder.RecordOperation(op)
}

// sendTwice sends op to two hosts at once.
func (env *environment) sendTwice(r *rand.Rand, op *Operation, key string) []Response {
	responses := make([]Response, 2)
	var wg sync.WaitGroup
	a, b := r.IntN(hostCount), r.IntN(hostCount)
	for i, h := range []int{a, b} {
		wg.Go(func() { responses[i] = env.send(h, op, key) })
	}
	wg.Wait()
	for i := range responses {
		// "Not run" can be correct for one of the two although the other was
		// received.
		responses[i].Belied = false
	}
	return responses
}

// faultInjector starts and ends the faults of the plan as operations end.
type faultInjector struct {
	*environment
	mu        sync.Mutex
	completed int
	steps     []Step
	counts    map[string]int
}

func (inj *faultInjector) operationDone() {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.completed++
	for _, s := range inj.steps {
		if s.StartAfter == inj.completed {
			inj.counts[string(s.Fault)]++
			inj.setFault(s, true)
		}
		if s.EndAfter == inj.completed {
			inj.setFault(s, false)
		}
	}
}

func (inj *faultInjector) endAll() {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for _, s := range inj.steps {
		if s.StartAfter <= inj.completed && s.EndAfter > inj.completed {
			inj.setFault(s, false)
		}
	}
}

// setFault starts or ends the fault of a step.
func (inj *faultInjector) setFault(s Step, on bool) {
	a, b := fmt.Sprint("h", s.Target), fmt.Sprint("h", s.Peer)
	srv := inj.servers[s.Target%len(inj.servers)]
	platform := func(f standin.Faults) {
		if !on {
			f = standin.Faults{}
		}
		inj.objects.SetFaults(f)
	}
	switch s.Fault {
	case KillHost:
		if on {
			inj.killHost(s.Target)
		} else {
			inj.startHost(s.Target)
		}
	case PartitionHosts:
		inj.setLinkFault(on, func() { inj.network.Partition(a, b) }, a, b)
	case LosePeerResponses:
		inj.setLinkFault(on, func() { inj.network.LoseResponses(a, b) }, a, b)
	case PlatformDown:
		platform(standin.Faults{Down: true})
	case PlatformLosesResponses:
		platform(standin.Faults{LoseWriteResponses: 10})
	case PlatformSlow:
		platform(standin.Faults{Delay: 30 * time.Millisecond})
	case KillServer:
		if on {
			srv.crash()
		} else {
			srv.relay.RefuseConnections(false)
		}
	case FreezeServer:
		if on {
			srv.relay.Pause(false)
		} else {
			srv.relay.Resume()
		}
	case ResetConns:
		srv.relay.ResetConnections()
	case SilenceConns:
		if on {
			srv.relay.Blackhole(false)
		}
	case LoseResponses:
		if on {
			srv.relay.Blackhole(true)
		}
	case RefuseRequests:
		srv.refuseRequests.Store(on)
	case FailRequests:
		srv.failRequests.Store(on)
	case SwapResponses:
		srv.swapResponses.Store(on)
	case TruncateResponses:
		srv.truncateResponses.Store(on)
	}
}

func (inj *faultInjector) setLinkFault(on bool, fault func(), a, b string) {
	if on {
		fault()
	} else {
		inj.network.Heal(a, b)
	}
}
