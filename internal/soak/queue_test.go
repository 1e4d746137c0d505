package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"bilberrydale/platform/platformtest"
)

// workQueue is where the requests of a server wait until it runs them.
type workQueue struct {
	gate   *gate
	traits *silence
	slots  chan struct{} // holds an element for each running request; nil: no bound

	mu      sync.Mutex
	waiting int
}

// newWorkQueue returns the queue of a server.
func newWorkQueue(traits *silence, g *gate) *workQueue {
	q := &workQueue{gate: g, traits: traits}
	if traits.slots > 0 {
		q.slots = make(chan struct{}, traits.slots)
	}
	return q
}

// pass returns once the server is not silent.
func (q *workQueue) pass() {
	if q != nil {
		q.gate.pass()
	}
}

// workStep is the longest time that a server works on after it has fallen silent.
const workStep = 20 * time.Millisecond

// work works for d on a request, or until the caller has disconnected. A silent server does no work.
func (q *workQueue) work(req *http.Request, d time.Duration) {
	for done := time.Duration(0); done < d && req.Context().Err() == nil; done += workStep {
		simulateWork(req, min(workStep, d-done))
		q.pass()
	}
}

// enter waits for the turn of a request. It returns false if it has refused or dropped it.
func (q *workQueue) enter(env *environment, b *backendServer, id string, w http.ResponseWriter, req *http.Request) bool {
	q.pass()
	deadline := time.Now().Add(cmp.Or(platformtest.Timeout(req), routeTimeout))
	if !q.wait(req) {
		q.refuseFull(w)
		return false
	}
	q.pass()
	switch {
	case req.Context().Err() != nil:
		q.traits.countRefusal("dropped")
	case time.Now().After(deadline):
		q.traits.countRefusal("late")
		platformtest.RespondNotRun(w)
	case q.traits.lostOneIn > 0 && strings.Contains(req.URL.Path, "draft") && hashOf(id, b.ID, fmt.Sprint(time.Now().UnixMilli()/500))%uint32(q.traits.lostOneIn) == 0:
		q.traits.countRefusal("input gone")
		platformtest.RespondInputsLost(w)
	default:
		return true
	}
	q.leave()
	return false
}

// longestPromptMS is the time that servers take at most until the first event of a stream, in milliseconds.
const longestPromptMS = 1200

// streamTimes returns the time before the first event of a stream, and that between two events.
func (s *silence) streamTimes(id string) (prompt, interval time.Duration) {
	if s == nil || !s.prompts {
		return 0, eventInterval
	}
	return time.Duration(hashOf(id, "prompt")%longestPromptMS) * time.Millisecond, 10 * eventInterval
}

// fullPause is how long a server that is full wants no requests.
const fullPause = 150 * time.Millisecond

// refuseFull refuses a request for want of room.
func (q *workQueue) refuseFull(w http.ResponseWriter) {
	q.traits.countRefusal("full")
	if q.traits.pauses {
		platformtest.RespondPause(w, fullPause, true)
		return
	}
	platformtest.RespondNotRun(w)
}

// wait waits for a slot. It returns false if too many wait.
func (q *workQueue) wait(req *http.Request) bool {
	if q.slots == nil {
		return true
	}
	select {
	case q.slots <- struct{}{}:
		return true
	default:
	}
	q.mu.Lock()
	full := q.waiting >= q.traits.queue
	if !full {
		q.waiting++
	}
	q.mu.Unlock()
	if full {
		return false
	}
	q.slots <- struct{}{} // requests that run take some milliseconds
	q.mu.Lock()
	q.waiting--
	q.mu.Unlock()
	return true
}

// leave ends the turn of a request.
func (q *workQueue) leave() {
	if q.slots != nil {
		<-q.slots
	}
}
