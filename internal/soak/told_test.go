package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"bilberrydale/platform/platformtest"
)

const (
	// pauseAllowance is the time after a refusal within which requests do not count: they may have
	// been sent before it arrived.
	pauseAllowance = 500 * time.Millisecond
	// maxInPause is the number of requests that may reach a server from a host in a pause.
	maxInPause = 2
	// drainTime is the time after a response that says that its server leaves within which clients'
	// requests may still be sent there.
	drainTime = 2500 * time.Millisecond
	// maxResidentBytes is the memory of a daemon.
	maxResidentBytes = 128 << 20
)

// told is what a server says in its responses. It is guarded by environment.mu.
type told struct {
	pause      time.Duration // for which it wants no requests; 0: it takes requests
	pauseShare int           // one in how many requests is refused for it
	pauses     []*toldPause
	leaving    int64               // start of the process that says that it leaves; 0: none does
	leftTo     map[*host]time.Time // first response that says so, by host
	endless    bool                // some responses have no end
	// links counts faults of the server's link, by which responses are lost.
	links disturbance
}

// toldPause is a pause that a server process has asked a host for.
type toldPause struct {
	host        *host
	started     int64 // of the process
	from, until time.Time
	arrivals    []string // requests, while the host is in touch
}

// disturbLink runs a fault of a server's link.
func (env *environment) disturbLink(b *backendServer, run func()) { env.disturb(&b.told.links, run) }

// linked reports whether all responses of a server to a host that were sent within contactTime have
// arrived. It is called with env.mu held.
func (env *environment) linked(b *backendServer, h *host) bool {
	return env.inTouch(h) && b.told.links.active == 0 && time.Since(b.told.links.endedAt) >= contactTime
}

// tell sets in a response to a request what its server says now, and checks whether the request may
// have reached it. It returns true if it has responded.
func (env *environment) tell(b *backendServer, id string, w http.ResponseWriter) bool {
	_, started := b.Version()
	env.mu.Lock()
	defer env.mu.Unlock()
	sender := env.senders[id]
	b.told.arrived(env, b, sender, started, id)
	if b.told.leaving == started {
		platformtest.SayLeaving(w.Header())
		if _, known := b.told.leftTo[sender]; !known || !env.linked(b, sender) {
			b.told.leftTo[sender] = time.Now()
		}
	}
	if b.told.pause == 0 || hashOf(id, b.ID, "pause")%uint32(b.told.pauseShare) != 0 {
		return false
	}
	now := time.Now()
	b.told.pauses = append(b.told.pauses, &toldPause{host: sender, started: started, from: now.Add(pauseAllowance), until: now.Add(b.told.pause)})
	platformtest.RespondPause(w, b.told.pause, true)
	return true
}

// arrived checks whether a request may have reached its server. It is called with env.mu held.
func (t *told) arrived(env *environment, b *backendServer, sender *host, started int64, id string) {
	if !env.linked(b, sender) || env.otherBuilds[sender] {
		return
	}
	now := time.Now()
	for _, p := range t.pauses {
		if p.host != sender || p.started != started || now.Before(p.from) || !now.Before(p.until) {
			continue
		}
		if p.arrivals = append(p.arrivals, id); len(p.arrivals) == maxInPause+1 {
			env.t.Errorf("%s had asked %s for no requests until %s, and got %v", b.ID, sender.name, p.until, p.arrivals)
		}
	}
	if at, said := t.leftTo[sender]; said && t.leaving == started && env.sentAt[id].Sub(at) > drainTime {
		env.t.Errorf("%s had said to %s that it leaves, and got %s, sent %s later", b.ID, sender.name, id, env.sentAt[id].Sub(at))
	}
}

// pauseServer lets a server refuse some of its requests, and ask for none, until run returns.
func (env *environment) pauseServer(b *backendServer, pause time.Duration, share int, run func()) {
	set := func(pause time.Duration) (changed bool) {
		env.mu.Lock()
		defer env.mu.Unlock()
		changed = (b.told.pause == 0) != (pause == 0)
		b.told.pause, b.told.pauseShare = pause, share
		return changed
	}
	if !set(pause) {
		return // another fault does
	}
	run()
	set(0)
}

// pausesOver reports whether all pauses that servers have asked for are over.
func (env *environment) pausesOver() bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, b := range env.servers {
		for _, p := range b.told.pauses {
			if time.Now().Before(p.until) {
				return false
			}
		}
	}
	return true
}

// sayLeaving lets a server say that it leaves, which only later is listed, and end. Another one starts
// before.
func (env *environment) sayLeaving(r *rand.Rand, b *backendServer) {
	version, started := b.Version()
	env.addServer(b.Service, version, b.domain)
	env.mu.Lock()
	b.told.leaving, b.told.leftTo = started, map[*host]time.Time{}
	env.mu.Unlock()
	time.Sleep(drainTime)
	env.requests.awaitMore(randomCount(r, 40, 200))
	env.publishEntry(b, true)
	env.requests.awaitMore(randomCount(r, 10, 60))
	env.endServer(b)
}

// endlessShare is one in how many responses has no end.
const endlessShare = 4

// setEndless lets some responses of a server have no end, or ends that.
func (env *environment) setEndless(b *backendServer, endless bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	b.told.endless = endless
}

// endlessNames are the responses without end of the soak, of plain requests and of streams.
var endlessNames = map[bool][]string{
	false: {"header line", "header lines", "interim responses", "body", "chunks", "chunk extension", "trailers"},
	true:  {"header line", "status line", "interim responses", "line of a stream", "lines of an event", "comments", "size of a chunk"},
}

// respondEndless responds without end if the server does so now to the request.
func (env *environment) respondEndless(b *backendServer, id string, w http.ResponseWriter, req *http.Request) bool {
	env.mu.Lock()
	endless := b.told.endless
	env.mu.Unlock()
	hash := hashOf(id, b.ID, "endless")
	if !endless || hash%endlessShare != 0 {
		return false
	}
	names := endlessNames[strings.HasPrefix(req.URL.Path, "/stream/")]
	response := platformtest.EndlessResponses[names[int(hash/endlessShare)%len(names)]]
	if hash%(2*endlessShare) == 0 {
		response.Respond(w, 1, 100*time.Millisecond)
		return true
	}
	response.Respond(w, 64<<10, 0)
	return true
}

// checkMemory checks the largest memory that the daemons' present processes have had.
func (env *environment) checkMemory() {
	for _, h := range env.hosts {
		h.mu.Lock()
		pid := h.cmd.Process.Pid
		h.mu.Unlock()
		bytes, err := peakMemory(pid)
		if err != nil {
			continue // the process is being replaced
		}
		env.t.Logf("%s has had %d MB of memory", h.name, bytes>>20)
		if bytes > maxResidentBytes {
			env.t.Errorf("%s has had %d MB of memory", h.name, bytes>>20)
		}
	}
}

// peakMemory returns the largest memory that a process has had, in bytes.
func peakMemory(pid int) (bytes int, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, err = fmt.Sscan(text, &bytes)
			return bytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no memory", pid)
}

// noteBuild records that a host has been of another build at some time.
func (env *environment) noteBuild(h *host, other bool) {
	if !other {
		return
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.otherBuilds[h] = true
}
