package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// fault is one disturbance; it lasts until it returns.
type fault struct {
	name string
	run  func(p *place, r *rand.Rand, binary string)
}

func some(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

func (p *place) anyHost(r *rand.Rand) *host      { return p.hosts[r.IntN(len(p.hosts))] }
func (p *place) anyServer(r *rand.Rand) *backend { return p.servers[r.IntN(len(p.servers))] }

// restart waits for the end of a process and starts it again.
func (p *place) restart(h *host, binary string, pause time.Duration) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopBound + time.Second):
		p.t.Errorf("%s did not end within its time to stop", h.name)
		h.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(pause)
	p.must(h.start(binary))
}

// end ends a host's process by a signal and starts it again, unless another
// fault is doing that.
func (p *place) end(h *host, s syscall.Signal, binary string, pause time.Duration) {
	if !h.restarting.TryLock() {
		return
	}
	defer h.restarting.Unlock()
	h.signal(s)
	p.restart(h, binary, pause)
}

// relayFault disturbs the connections of a relay for a while.
func relayFault(r *rand.Rand, x *relay) {
	switch r.IntN(5) {
	case 0:
		x.resetAll()
	case 1:
		x.delay.Store(int64(some(r, 20, 300)))
	case 2:
		x.silent.Store(true)
	case 3:
		x.oneWay.Store(true)
	case 4:
		x.refuse.Store(true)
		x.resetAll()
	}
	time.Sleep(some(r, 200, 2500))
	x.heal()
}

// storeFault disturbs the store itself.
func storeFault(p *place, r *rand.Rand) {
	var mode atomic.Int32
	mode.Store(int32(r.IntN(4)))
	delay := some(r, 50, 400)
	p.store.SetBefore(func(w http.ResponseWriter, q *http.Request) bool {
		switch mode.Load() {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case 1:
			w.WriteHeader(http.StatusTooManyRequests)
			return true
		case 2:
			time.Sleep(delay)
			return false
		default:
			if q.Method == http.MethodGet {
				return false
			}
			panic(http.ErrAbortHandler) // a write without an answer
		}
	})
	time.Sleep(some(r, 300, 3000))
	p.store.SetBefore(nil)
}

var faults = []fault{
	{"kill", func(p *place, r *rand.Rand, binary string) {
		p.end(p.anyHost(r), syscall.SIGKILL, binary, some(r, 0, 1500))
	}},
	{"terminate", func(p *place, r *rand.Rand, binary string) {
		p.end(p.anyHost(r), syscall.SIGTERM, binary, some(r, 0, 500))
	}},
	{"pause", func(p *place, r *rand.Rand, _ string) {
		h := p.anyHost(r)
		h.signal(syscall.SIGSTOP)
		time.Sleep(some(r, 100, 7000)) // also longer than keys may be honoured
		h.signal(syscall.SIGCONT)
	}},
	{"reload", func(p *place, r *rand.Rand, _ string) { p.anyHost(r).signal(syscall.SIGHUP) }},
	{"link to the store", func(p *place, r *rand.Rand, _ string) { relayFault(r, p.anyHost(r).relay) }},
	{"link to a server", func(p *place, r *rand.Rand, _ string) { relayFault(r, p.anyServer(r).relay) }},
	{"store", func(p *place, r *rand.Rand, _ string) { storeFault(p, r) }},
	{"history", func(p *place, r *rand.Rand, _ string) {
		p.store.SetDeaf(true)
		time.Sleep(some(r, 100, 1000))
		p.store.Forget()
		p.store.SetDeaf(false)
	}},
	{"key", func(p *place, _ *rand.Rand, _ string) { p.revoke() }},
	{"configuration", func(p *place, _ *rand.Rand, _ string) { p.configure() }},
	{"foreign entry", func(p *place, r *rand.Rand, _ string) {
		p.store.PutRaw("servers", fmt.Sprintf("foreign-%d", r.IntN(5)), []byte(`{"service":"ledger","address":7}`))
	}},
	{"server leaves", func(p *place, r *rand.Rand, _ string) {
		b := p.anyServer(r)
		p.list(b, "draining")
		time.Sleep(some(r, 500, 2000))
		p.list(b, "ready")
	}},
	{"server lapses", func(p *place, r *rand.Rand, _ string) {
		b := p.anyServer(r)
		p.store.Delete("servers", b.ID)
		time.Sleep(some(r, 200, 1500))
		p.list(b, "ready")
	}},
}
