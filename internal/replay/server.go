package replay

import (
	"slices"
	"time"

	"bilberrydale/version/table"
)

// fakeServer is a fake backend server: slots, a bounded queue by priority, a cache
// of prompt prefixes and service times that the trace recorded.
type fakeServer struct {
	*events
	table.Server
	slots   int
	engine  bool
	dead    bool
	factor  float64 // slowness; 1: as recorded
	running []*job
	queue   []*job
	cached  []uint64 // prefixes, least recently used first
}

// queueFactor bounds the queue, in multiples of the slots.
const queueFactor = 4

// cachedPrefixes is how many an engine holds; the trace has more.
const cachedPrefixes = 60

// job is one attempt on a server.
type job struct {
	priority int
	seq      int
	work     time.Duration
	prefill  time.Duration
	prefix   uint64
	poison   bool
	started  time.Duration
	end      time.Duration
	hit      bool
	state    jobState
	done     func(result)
}

type jobState int

const (
	queued jobState = iota
	running
	ended
)

// result is how a job ended on the server.
type result int

const (
	succeeded result = iota
	refused          // the queue was full: not started
	unreached        // connection refused or never made
	crashed          // the connection ended during the work
	cancelled
)

func (s *fakeServer) submit(j *job) {
	switch {
	case s.dead:
		j.done(unreached)
	case len(s.running) < s.slots:
		s.start(j)
	case len(s.queue) >= queueFactor*s.slots:
		j.done(refused)
	default:
		i, _ := slices.BinarySearchFunc(s.queue, j, func(a, b *job) int {
			if a.priority != b.priority {
				return a.priority - b.priority
			}
			return a.seq - b.seq
		})
		s.queue = slices.Insert(s.queue, i, j)
	}
}

func (s *fakeServer) start(j *job) {
	j.state, j.started = running, s.now
	took := float64(j.work)
	if s.engine {
		if j.hit = s.use(j.prefix); !j.hit {
			took += float64(j.prefill)
		}
	}
	j.end = s.now + time.Duration(took*s.factor)
	s.running = append(s.running, j)
	if j.poison {
		s.after(time.Duration(took/4), func() { s.kill(); s.after(restartTime, s.revive) })
	}
	s.at(j.end, func() {
		if j.state == running {
			s.finish(j, succeeded)
		}
	})
}

const restartTime = 8 * time.Second

// use reports whether the prefix is cached and makes it the latest used.
func (s *fakeServer) use(prefix uint64) bool {
	i := slices.Index(s.cached, prefix)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > cachedPrefixes {
		s.cached = slices.Delete(s.cached, 0, 1)
	}
	return i >= 0
}

func (s *fakeServer) finish(j *job, r result) {
	j.state = ended
	s.running = slices.DeleteFunc(s.running, func(x *job) bool { return x == j })
	for len(s.queue) > 0 && len(s.running) < s.slots && !s.dead {
		next := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.start(next)
	}
	j.done(r)
}

// cancel stops a job that nobody waits for and returns the time it held a slot.
func (s *fakeServer) cancel(j *job) {
	switch j.state {
	case queued:
		s.queue = slices.DeleteFunc(s.queue, func(x *job) bool { return x == j })
		j.state = ended
	case running:
		s.finish(j, cancelled)
	}
}

// kill ends the process: all its work is lost.
func (s *fakeServer) kill() {
	s.dead = true
	lost := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue, s.cached = nil, nil, nil
	for _, j := range lost {
		was := j.state
		j.state = ended
		if was == running {
			j.done(crashed)
		} else {
			j.done(unreached)
		}
	}
}

func (s *fakeServer) revive() { s.dead = false }
