package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
)

var (
	seedFlag  = flag.Uint64("soak.seed", 1, "seed of the first run")
	runsFlag  = flag.Int("soak.runs", 1, "number of runs, each with the next seed")
	sizeFlag  = flag.Int("soak.requests", 500, "requests of a run while faults come")
	hostsFlag = flag.Int("soak.hosts", 3, "daemons of a run")
	keepFlag  = flag.String("soak.keep", "", "folder that keeps the logs of a failed run")
	otherFlag = flag.String("soak.other", "", "bilberryedge of another build: hosts of both run side by side, and each start of a host takes the other build")
)

// failedOnce are seeds that failed, each with its cause. They stay.
var failedOnce = []uint64{
	8124, // with 400 requests: the harness listed a cold server that had lapsed as one that is not cold
	907,  // with 900 requests: SIGHUP reached a process that had just started, which it ended
	2305, // with 700 requests, 3 of 16 runs: after streams over a pause a route's requests were refused on arrival for good
	// With 600 requests: told to stop while frozen for longer than the harness waited.
	3002, 3011, 3015, 3017,
}

// Clients send requests of four kinds, keeping connections until they are
// closed, while daemons are killed, paused, stopped and started, links to the
// store and to servers are delayed, cut one way, silenced and reset, and the
// store refuses, forgets and loses answers. Faults overlap. Whatever happens:
// what must not be repeated runs once, "not run" has not run, answers are whole
// and to their own request, revoked keys end in time, daemons end in time when
// told to, bound requests stay in their region, cold servers get what they bear, and when
// the faults end, requests are served again.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "bilberryedge")
	build := exec.Command("go", "build", "-o", binary, "bilberrydale/cmd/bilberryedge")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	seeds := append([]uint64(nil), failedOnce...)
	for i := range *runsFlag {
		seeds = append(seeds, *seedFlag+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, binary, seed) })
	}
}

// sent is one request as its client saw it.
type sent struct {
	id, path, key string
	at            time.Time
	status        int
	body          string
	err           error // no answer, or one that did not end as complete
}

func run(t *testing.T, binary string, seed uint64) {
	p := newPlace(t, binary, *hostsFlag, os.Getpid()%20000)
	defer p.keepLogs(seed)
	p.await("all daemons are ready", func() bool { return p.allReady() })
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	log := p.log
	for i := range 3 * len(p.hosts) {
		c := &client{p: p, log: log, host: p.hosts[i%len(p.hosts)], r: rand.New(rand.NewPCG(seed, uint64(i)))}
		clients.Go(func() { c.run(ctx) })
	}
	p.disturb(seed, binary)
	stop()
	clients.Wait()
	p.settle()
	p.await("all daemons are ready after the faults", p.allReady)
	p.recovered()
	p.evacuated()
	p.judge(log.all())
	p.decodingFaults()
}

// disturb lets faults come, up to three at a time, and waits for their ends.
func (p *place) disturb(seed uint64, binary string) {
	r := rand.New(rand.NewPCG(seed, 0))
	var running sync.WaitGroup
	slots := make(chan struct{}, 3)
	for p.log.len() < *sizeFlag {
		f := faults[r.IntN(len(faults))]
		own := rand.New(rand.NewPCG(r.Uint64(), 1))
		slots <- struct{}{}
		p.t.Logf("fault: %s", f.name)
		running.Go(func() {
			defer func() { <-slots }()
			f.run(p, own, binary)
		})
		p.log.more(some(r, 3, 75))
	}
	running.Wait()
}

func (p *place) settle() {
	p.store.SetInterceptor(nil)
	p.store.SuppressEvents(false)
	for _, h := range p.hosts {
		h.relay.ClearFaults()
	}
	for _, b := range p.servers {
		b.relay.ClearFaults()
		p.list(b, false)
	}
}

func (p *place) allReady() bool {
	for _, h := range p.hosts {
		if !h.ready() {
			return false
		}
	}
	return true
}

// patience is far over what a start or a recovery takes on a busy machine.
const patience = 60 * time.Second

func (p *place) await(what string, ok func() bool) {
	p.t.Helper()
	gomega.NewWithT(p.t).Eventually(ok, patience, "50ms").Should(gomega.BeTrue(), what)
}

// recovered asks each daemon for each kind until all are served.
func (p *place) recovered() {
	for _, h := range p.hosts {
		for _, path := range paths {
			c := &client{p: p, log: p.log, host: h, r: rand.New(rand.NewPCG(1, 1))}
			p.await(h.name+" serves "+path, func() bool { return c.send(path).status == http.StatusOK })
		}
	}
}

// evacuated has the near domain evacuated once all is well: its servers get nothing more,
// and what may be served elsewhere is.
func (p *place) evacuated() {
	p.store.Evacuate(nearDomain)
	c := &client{p: p, log: p.log, r: rand.New(rand.NewPCG(2, 2))}
	far := func(path string) bool {
		s := c.send(path)
		return s.status == http.StatusOK && p.ranIn(s.id, farDomain)
	}
	for _, c.host = range p.hosts {
		c.drop()
		p.await(c.host.name+" serves elsewhere", func() bool { return far("/status/1") && far("/stream/draft/1") })
		for range 5 {
			if !far("/status/1") {
				p.t.Errorf("%s sends to an evacuated domain, or does not serve", c.host.name)
			}
		}
	}
	c.drop()
	p.store.EndEvacuation(nearDomain)
}

// ranIn reports whether all that was done for an attempt was done in a failure domain.
func (p *place) ranIn(id, domain string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allIn(id, domain)
}

// allIn is called with p.mu held.
func (p *place) allIn(id, domain string) bool {
	for _, list := range [][]string{p.ran[id], p.made[id]} {
		for _, server := range list {
			if p.domainOf(server) != domain {
				return false
			}
		}
	}
	return true
}

func (p *place) domainOf(server string) string {
	for _, b := range p.servers {
		if b.ID == server {
			return b.domain
		}
	}
	return ""
}

// ledger keeps what clients saw.
type ledger struct {
	mu   sync.Mutex
	cond sync.Cond // of more entries
	list []sent
	n    int
}

func newLedger() *ledger {
	l := &ledger{}
	l.cond.L = &l.mu
	return l
}

func (l *ledger) add(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
	l.cond.Broadcast()
}

func (l *ledger) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.list)
}

// more returns when n more requests have ended. Each ends in time: its client
// leaves after the route's time.
func (l *ledger) more(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for end := len(l.list) + n; len(l.list) < end; {
		l.cond.Wait()
	}
}

func (l *ledger) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	return l.n
}

func (l *ledger) all() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sent(nil), l.list...)
}

var paths = []string{"/transfer/1", "/status/1", "/stream/chat/1", "/stream/draft/1", "/bound/1", "/stream/bounddraft/1"}

// client sends one request after the other and keeps its connection while the
// daemon does.
type client struct {
	p    *place
	log  *ledger
	host *host
	r    *rand.Rand
	conn net.Conn
	in   *bufio.Reader
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.send(paths[c.r.IntN(len(paths))])
		select {
		case <-time.After(someTime(c.r, 5, 40)): // as people do
		case <-ctx.Done():
		}
	}
	c.drop()
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) send(path string) sent {
	c.p.mu.Lock()
	key := c.p.keys[c.r.IntN(len(c.p.keys))]
	if c.r.IntN(10) == 0 { // a client that has not heard that its key is gone
		for old := range c.p.revoked {
			key = old
		}
	}
	c.p.mu.Unlock()
	s := sent{id: fmt.Sprintf("a%012x", c.log.next()), path: path, key: key}
	c.exchange(&s)
	c.log.add(s)
	return s
}

func (c *client) exchange(s *sent) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.ip+":8625", time.Second)
		if err != nil {
			s.at, s.err = time.Now(), err
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(routeTime + 2*time.Second))
	s.at = time.Now()
	err := c.write(s)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.in, nil)
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		s.status, s.body = resp.StatusCode, string(body)
		if id := platformtest.AttemptID(resp.Header); id != s.id {
			c.p.t.Errorf("%s got the answer to %q", s.id, id)
		}
	}
	s.err = err
	if err != nil || resp.Close || c.r.IntN(20) == 0 {
		c.drop()
	}
}

func (c *client) write(s *sent) error {
	req, err := http.NewRequest(http.MethodPost, "http://soap.example"+s.path, strings.NewReader("x"))
	if err != nil {
		return err
	}
	platformtest.Request{AttemptID: s.id, APIKey: s.key, Timeout: routeTime, StageItems: []int{1, 2}, StageInputKey: "k"}.SetHeaders(req.Header)
	return req.Write(c.conn)
}

// promisedNotRun are statuses by which a request has not run and never will.
func promisedNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// repeatable tells whether requests to a path may run more than once, so that one which was
// refused may have run before.
func repeatable(path string) bool {
	return strings.HasPrefix(path, "/status") || strings.HasPrefix(path, "/bound")
}

// judge compares what clients got with what servers ran.
func (p *place) judge(list []sent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := map[int]int{}
	for _, s := range list {
		count[s.status]++
		ran := p.ran[s.id]
		if strings.HasPrefix(s.path, "/transfer") && len(ran) > 1 {
			p.t.Errorf("%s %s ran on %v", s.id, s.path, ran)
		}
		if promisedNotRun(s.status) && len(ran) > 0 && !repeatable(s.path) {
			p.t.Errorf("%s %s was told %d and ran on %v", s.id, s.path, s.status, ran)
		}
		if gone, ok := p.revoked[s.key]; ok && s.at.Sub(gone) > revokeBound && len(ran) > 0 {
			p.t.Errorf("%s ran %s after its key was revoked", s.id, s.at.Sub(gone))
		}
		if strings.Contains(s.path, "bound") && !p.allIn(s.id, farDomain) {
			p.t.Errorf("%s %s is bound to one region: ran on %v, results of %v", s.id, s.path, ran, p.made[s.id])
		}
		if s.status == http.StatusOK && s.err == nil {
			p.whole(s)
		}
	}
	p.judgeCold()
	p.t.Logf("%d requests, by status: %v", len(list), count)
	if count[http.StatusOK] == 0 {
		p.t.Error("nothing was served")
	}
}

// judgeCold is called with p.mu held.
func (p *place) judgeCold() {
	for _, b := range p.servers {
		for _, times := range b.cold {
			for i := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(times[i]) < coldCount {
						n++
					}
				}
				if b.Service == "model" && float64(n) > coldMost {
					p.t.Errorf("%s got %d requests in a second while it was cold", b.ID, n)
				}
			}
		}
	}
}

func (p *place) whole(s sent) {
	if !strings.HasPrefix(s.path, "/stream") {
		if s.body != "answer to "+s.id {
			p.t.Errorf("%s got %q", s.id, s.body)
		}
		return
	}
	var want strings.Builder
	for i := 1; i <= streamEvents; i++ {
		want.WriteString("id: " + strconv.Itoa(i) + "\ndata: piece " + strconv.Itoa(i) + "\n\n")
	}
	if s.body != want.String() {
		p.t.Errorf("%s ended as complete with %q", s.id, s.body)
	}
}

// keepLogs copies the daemons' logs of a failed run.
func (p *place) keepLogs(seed uint64) {
	if !p.t.Failed() || *keepFlag == "" {
		return
	}
	if err := os.MkdirAll(*keepFlag, 0o700); err != nil {
		p.t.Logf("logs not kept: %v", err)
		return
	}
	for _, h := range p.hosts {
		data, err := os.ReadFile(h.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(*keepFlag, fmt.Sprintf("%d-%s.log", seed, h.name)), data, 0o600)
		}
		if err != nil {
			p.t.Logf("log of %s not kept: %v", h.name, err)
		}
	}
}
