package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// crashPrefix begins the bodies of requests that end each server that runs them.
const crashPrefix = "crash-"

const (
	// maxServersLost is the number of servers that such a request may end.
	maxServersLost = 3
	// contactTime is how long a host has to be undisturbed before it counts as in touch
	// with the platform and its peers.
	contactTime = 4 * time.Second
)

// crash is the end of a server by a request.
type crash struct {
	server  string
	at      time.Time
	inTouch bool // the host that sent the request was in touch
}

// runCrashingRequest ends the server if body is that of a crashing request. It returns false
// for other requests. Another server takes the place of the lost one after some requests.
func (env *environment) runCrashingRequest(b *backendServer, id, body string) bool {
	if !strings.HasPrefix(body, crashPrefix) {
		return false
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	if b.crashed {
		return true
	}
	b.crashed = true
	env.crashes[body] = append(env.crashes[body], crash{b.ID, time.Now(), env.inTouch(env.senders[id])})
	go env.serverEnded(b) // not here: it closes the connection of this request
	env.replacements.Go(func() {
		env.requests.awaitMore(crashedServerRequests)
		env.store.DeleteServer(b.ID)
		version, _ := b.Version()
		env.addServer(b.Service, version, b.domain)
	})
	return true
}

// crashedServerRequests is the number of requests of the clients until a crashed server is
// replaced.
const crashedServerRequests = 40

// inTouch reports whether a host has been undisturbed for contactTime. It is called with env.mu
// held.
func (env *environment) inTouch(h *host) bool {
	if h == nil {
		return false
	}
	undisturbed := func(d *disturbance) bool { return d.active == 0 && time.Since(d.endedAt) >= contactTime }
	return undisturbed(&h.disturbance) && undisturbed(&env.disturbance)
}

// disturbance tells whether a host, or the store, is or was disturbed. It is guarded by
// environment.mu.
type disturbance struct {
	active  int       // faults in progress
	endedAt time.Time // of the last one; zero: none
}

// disturb runs a fault during which, and for contactTime after it, d counts as disturbed.
func (env *environment) disturb(d *disturbance, run func()) {
	env.mu.Lock()
	d.active++
	env.mu.Unlock()
	run()
	env.mu.Lock()
	d.active--
	d.endedAt = time.Now()
	env.mu.Unlock()
}

// sendCrashing sends a request with the body to the hosts in turn.
func (env *environment) sendCrashing(r *rand.Rand, body string, count int, between func()) {
	path := []string{"/stream/chat/1", "/status/1"}[r.IntN(2)]
	for i := range count {
		c := &client{env: env, requests: env.requests, host: env.hosts[(i+r.IntN(2))%len(env.hosts)], rand: r, body: body}
		c.send(path)
		c.closeConn()
		between()
	}
}

// checkCrashingRequest sends a crashing request to all hosts after the recovery. It may end
// maxServersLost servers, and other requests are served.
func (env *environment) checkCrashingRequest(seed uint64) {
	body := fmt.Sprint(crashPrefix, "after-faults-", seed)
	env.sendCrashing(rand.New(rand.NewPCG(seed, 3)), body, 4*len(env.hosts), func() {})
	env.mu.Lock()
	lost := len(env.crashes[body])
	env.mu.Unlock()
	if lost == 0 || lost > maxServersLost {
		env.t.Errorf("a crashing request ended %d servers", lost)
	}
	c := &client{env: env, requests: env.requests, rand: rand.New(rand.NewPCG(4, 4))}
	for _, c.host = range env.hosts {
		c.closeConn()
		for _, path := range paths {
			env.awaitCondition(c.host.name+" serves "+path, func() bool { return c.send(path).status == http.StatusOK })
		}
	}
	c.closeConn()
}

// checkCrashes checks that no request ended more than maxServersLost servers at hosts in touch
// after it had ended maxServersLost, with contactTime for the hosts to learn of that. It is
// called with env.mu held.
func (env *environment) checkCrashes() {
	for body, list := range env.crashes {
		if len(list) <= maxServersLost {
			continue
		}
		known, more := list[maxServersLost-1].at.Add(contactTime), 0
		for _, c := range list[maxServersLost:] {
			if c.inTouch && c.at.After(known) {
				more++
			}
		}
		env.t.Logf("%s ended %d servers, %d of them at hosts that should have refused it", body, len(list), more)
		if more > maxServersLost {
			env.t.Errorf("%s ended %d servers at hosts that should have refused it", body, more)
		}
	}
}
