package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"bilberrydale/platform/platformtest"
)

const (
	// endlessAtOnce is the number of responses without end that a daemon meets at the same time.
	endlessAtOnce = 100
	// endlessPartBytes is the size in which they come, as fast as they are taken.
	endlessPartBytes = 64 << 10
)

// endlessPaths are the paths of the requests that meet responses without end: streams or not.
var endlessPaths = map[bool]string{false: "/status/1", true: resumablePath}

// Guards against a daemon that keeps bytes that are no answer until its memory is used up, with which the requests of
// other clients end: a hundred responses without end at once, in heads and in bodies, at full speed.
func TestDaemonBearsAHundredResponsesWithoutEnd(t *testing.T) {
	binary := daemonBinary(t)
	run := 0
	for stream, path := range endlessPaths {
		for name, response := range platformtest.EndlessResponses {
			if isStreamOnly(name) && !stream {
				continue
			}
			run++
			t.Run(path+", "+name, func(t *testing.T) {
				env := newEnvironment(t, binary, 1, (os.Getpid()+run*addressStep)%20000, runPlan{prepare: addModels})
				defer env.keepLogs(0)
				env.awaitCondition("the daemon is ready", env.allReady)
				env.meetEndless(path, response)
				env.checkMemory()
			})
		}
	}
}

// addModels adds servers, so that endlessAtOnce streams run at the same time.
func addModels(env *environment) {
	for range endlessAtOnce / engineSlots {
		env.addServer("model", platformtest.DefaultVersion, nearDomain)
	}
}

// meetEndless sends requests whose responses have no end, and checks that those beside them are served.
func (env *environment) meetEndless(path string, response platformtest.Endless) {
	g := gomega.NewWithT(env.t)
	var met, now, most atomic.Int64
	env.interceptAll(func(id string, w http.ResponseWriter, r *http.Request) {
		platformtest.Sign(w.Header(), "stamp-"+id)
		if strings.HasPrefix(r.URL.Path, "/transfer/") {
			_, _ = io.WriteString(w, "answer to "+id)
			return
		}
		met.Add(1)
		most.Store(max(most.Load(), now.Add(1)))
		defer now.Add(-1)
		response.Respond(w, endlessPartBytes, 0)
	})
	beside := env.sendEndless(env.hosts[0], path)
	env.t.Logf("met %d times, %d at once, with %d requests beside", met.Load(), most.Load(), len(beside))
	g.Expect(met.Load()).To(gomega.BeNumerically(">=", endlessAtOnce/2), "servers that fail get fewer")
	for _, s := range beside {
		g.Expect(s.err).NotTo(gomega.HaveOccurred())
		g.Expect(s.status == http.StatusOK || statusMeansNotRun(s.status)).To(gomega.BeTrue(), "%d: %s", s.status, s.body)
	}
	g.Expect(env.hosts[0].processCount()).To(gomega.Equal(1), "the process has not ended")
}

// isStreamOnly reports whether a response without end is that of a stream.
func isStreamOnly(name string) bool {
	return strings.Contains(name, "stream") || strings.Contains(name, "event") || strings.Contains(name, "comment")
}

// interceptAll lets all servers respond with a function, but to stage calls.
func (env *environment) interceptAll(respond func(id string, w http.ResponseWriter, r *http.Request)) {
	for _, b := range env.activeServers() {
		b.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
			if platformtest.IsStageCall(r) {
				return false
			}
			respond(platformtest.AttemptID(r.Header), w, r)
			return true
		})
	}
}

// sendEndless sends endlessAtOnce requests to a path at the same time, and bookings beside them until all have ended.
// It returns the bookings.
func (env *environment) sendEndless(h *host, path string) (beside []clientRequest) {
	newClient := func(i int) *client {
		return &client{env: env, requests: env.requests, host: h, home: h, rand: rand.New(rand.NewPCG(1, uint64(i))), validKeys: true}
	}
	var clients sync.WaitGroup
	var ended atomic.Bool
	for i := range endlessAtOnce {
		clients.Go(func() {
			c := newClient(i)
			defer c.closeConn()
			c.sendOnce(&clientRequest{path: path, key: env.keys[0]})
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := newClient(endlessAtOnce)
		defer c.closeConn()
		for !ended.Load() {
			s := clientRequest{path: fmt.Sprintf("/transfer/%d", len(beside)), key: env.keys[0]}
			c.sendOnce(&s)
			beside = append(beside, s)
		}
	}()
	clients.Wait()
	ended.Store(true)
	<-done
	return beside
}

// processCount returns the number of processes that the host has had.
func (h *host) processCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.processes)
}
