package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"bilberrydale/internal/headserver"
	"bilberrydale/platform/platformtest"
)

const (
	// longBodyBytes is more than sockets hold, so that it is still being written when an early answer comes.
	longBodyBytes = 2 << 20
	// brokenClientsPerHost is the number of clients of each host beside broken servers.
	brokenClientsPerHost = 8
	// brokenMark stands in answers that no client may get.
	brokenMark = "broken"
)

// brokenAnswerShare is one in how many answers of such a server is broken: hosts avoid servers that fail more.
const brokenAnswerShare = 4

// Guards against answers that clients get although they are none of HTTP or were reset while their request was still
// being written: real daemons, servers of which every other one is broken, and long requests among short ones.
func TestBrokenAnswersReachNoClient(t *testing.T) {
	seeds := []uint64{1}
	for i := range *runsFlag {
		if seed := *seedFlag + uint64(i); seed != seeds[0] {
			seeds = append(seeds, seed)
		}
	}
	runSeeds(t, seeds, func(seed uint64) runPlan {
		b := &brokenAnswers{seed: seed}
		return runPlan{broken: b, prepare: b.prepare}
	})
}

// brokenAnswers plays clients beside servers of which some send broken answers.
type brokenAnswers struct {
	env  *environment
	seed uint64

	mu   sync.Mutex // guards sent
	sent int        // broken answers
}

// prepare makes every other server for plain requests and streams broken. Hosts reach them without relays, which would
// read on for them.
func (a *brokenAnswers) prepare(env *environment) {
	a.env, env.maxBodyBytes = env, longBodyBytes
	for range 3 {
		env.addServer("ledger", platformtest.DefaultVersion, nearDomain)
	}
	for i, b := range env.activeServers() {
		if b.Service != "ledger" && b.Service != "model" {
			continue
		}
		b.ListedAddress, b.relay = "", nil
		env.publishEntry(b, false)
		if i%2 == 0 {
			b.SetObserver(func(w http.ResponseWriter, r *http.Request) bool { return a.respond(b, w, r) })
		}
	}
}

// respond sends a broken answer to most requests of clients. It returns false if a sound one is due.
func (a *brokenAnswers) respond(b *backendServer, w http.ResponseWriter, r *http.Request) bool {
	id := platformtest.AttemptID(r.Header)
	hash := hashOf(id, b.ID, brokenMark)
	if id == "" || platformtest.IsStageCall(r) || hash%brokenAnswerShare != 0 {
		return false
	}
	a.env.mu.Lock()
	a.env.executions[id] = append(a.env.executions[id], b.ID)
	a.env.mu.Unlock()
	a.mu.Lock()
	a.sent++
	a.mu.Unlock()
	platformtest.Sign(w.Header(), "stamp-"+id)
	body := brokenMark
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		body = platformtest.Event(platformtest.DefaultVersion, 1)
	}
	if hash /= brokenAnswerShare; hash%2 == 0 {
		b.RespondEarly(w, func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body })
		return true
	}
	_, _ = io.Copy(io.Discard, r.Body) // an error shows in the answer
	head := brokenHeads[int(hash/2)%len(brokenHeads)]
	b.RespondRaw(w, func(lines string) (string, bool) { return headserver.Broken[head].Response(lines, body), false })
	return true
}

// brokenHeads are the heads that broken servers send.
var brokenHeads = []string{
	"status 000", "status 000 before a sound response", "status 000 without a length", "blank in a name", "blank after a name",
	"blank after the name of the length", "control byte in a name", "no colon", "another protocol",
}

// run lets clients send requests until there are enough.
func (a *brokenAnswers) run() {
	var clients sync.WaitGroup
	paths := []string{"/transfer/1", "/transfer/2", "/status/1", "/stream/chat/1"}
	for i := range brokenClientsPerHost * len(a.env.hosts) {
		c := &client{env: a.env, requests: a.env.requests, host: a.env.hosts[i%len(a.env.hosts)], rand: rand.New(rand.NewPCG(a.seed, uint64(i))), validKeys: true}
		if i/len(a.env.hosts)%2 == 0 {
			c.body = strings.Repeat("x", longBodyBytes)
		}
		clients.Go(func() {
			defer c.closeConn()
			for a.env.requests.len() < *requestsFlag {
				c.send(paths[c.rand.IntN(len(paths))])
			}
		})
	}
	clients.Wait()
	for _, b := range a.env.activeServers() {
		b.SetObserver(nil)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.env.t.Logf("%d broken answers", a.sent)
	gomega.NewWithT(a.env.t).Expect(a.sent).To(gomega.BeNumerically(">", 0))
}
