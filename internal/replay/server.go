package replay

import (
	"slices"
	"time"

	"bilberrydale/version/table"
)

// fakeServer simulates a backend server with a number of slots, a bounded
// priority queue and an LRU cache of prompt prefixes. The service times are
// those of the trace.
type fakeServer struct {
	*eventLoop
	table.Server
	slots          int
	engine         bool    // has a prefix cache and adds the prefill time without a cached prefix
	down           bool    // no task reaches it
	slowdown       float64 // multiplies service times; 1: as recorded
	running        []*task
	queue          []*task  // next to run first
	cachedPrefixes []uint64 // least recently used first
}

// maxQueuedPerSlot bounds the queue, in tasks for each slot.
const maxQueuedPerSlot = 4

// prefixCacheSize is the number of prefixes in the cache of an engine. A
// trace has more (prefixCount).
const prefixCacheSize = 60

// task is the work of one attempt on a server. Tasks with a lower priority value
// run first, and those of equal priority in the order of seq.
type task struct {
	priority     int
	seq          int
	serviceTime  time.Duration
	prefillTime  time.Duration // added on an engine that has not cached the prefix
	prefix       uint64        // id of the prompt prefix
	poison       bool          // crashes the server
	startedAt    time.Duration // virtual time; 0: not started
	endAt        time.Duration // virtual time of the scheduled end
	prefixCached bool          // the prefix was in the cache at the start
	state        taskState
	done         func(taskResult) // called once, when the task ends
}

// taskState is the progress of a task on the server.
type taskState int

const (
	taskQueued taskState = iota
	taskRunning
	taskEnded
)

// taskResult is how a task ended on the server.
type taskResult int

const (
	taskSucceeded   taskResult = iota
	taskRefused                // the queue was full; the task did not start
	taskUnreachable            // no connection, or the task was still queued at a crash
	taskCrashed                // the server crashed while the task ran
	taskCancelled              // the request ended while the task ran
)

// submit starts a task in a free slot, or queues it. It ends the task at once if the
// server is down (taskUnreachable) or the queue is full (taskRefused).
func (s *fakeServer) submit(t *task) {
	switch {
	case s.down:
		t.done(taskUnreachable)
	case len(s.running) < s.slots:
		s.start(t)
	case len(s.queue) >= maxQueuedPerSlot*s.slots:
		t.done(taskRefused)
	default:
		i, _ := slices.BinarySearchFunc(s.queue, t, func(a, b *task) int {
			if a.priority != b.priority {
				return a.priority - b.priority
			}
			return a.seq - b.seq
		})
		s.queue = slices.Insert(s.queue, i, t)
	}
}

// start runs a task in a slot. A poison task crashes the server after a quarter
// of its service time, and the server restarts after restartDelay.
func (s *fakeServer) start(t *task) {
	t.state, t.startedAt = taskRunning, s.now
	workNanos := float64(t.serviceTime)
	if s.engine {
		if t.prefixCached = s.usePrefix(t.prefix); !t.prefixCached {
			workNanos += float64(t.prefillTime)
		}
	}
	t.endAt = s.now + time.Duration(workNanos*s.slowdown)
	s.running = append(s.running, t)
	if t.poison {
		s.scheduleAfter(time.Duration(workNanos/4), func() { s.crash(); s.scheduleAfter(restartDelay, s.restart) })
	}
	s.schedule(t.endAt, func() {
		if t.state == taskRunning {
			s.finish(t, taskSucceeded)
		}
	})
}

// restartDelay is the time from a crash to the restart of the server.
const restartDelay = 8 * time.Second

// usePrefix reports whether the prefix is cached and makes it the most recently
// used one.
func (s *fakeServer) usePrefix(prefix uint64) bool {
	i := slices.Index(s.cachedPrefixes, prefix)
	if i >= 0 {
		s.cachedPrefixes = slices.Delete(s.cachedPrefixes, i, i+1)
	}
	s.cachedPrefixes = append(s.cachedPrefixes, prefix)
	if len(s.cachedPrefixes) > prefixCacheSize {
		s.cachedPrefixes = slices.Delete(s.cachedPrefixes, 0, 1)
	}
	return i >= 0
}

// finish ends a running task and starts queued ones in the free slots.
func (s *fakeServer) finish(t *task, result taskResult) {
	t.state = taskEnded
	s.running = slices.DeleteFunc(s.running, func(x *task) bool { return x == t })
	for len(s.queue) > 0 && len(s.running) < s.slots && !s.down {
		next := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.start(next)
	}
	t.done(result)
}

// cancel removes a queued task without calling its done function, or ends a
// running one.
func (s *fakeServer) cancel(t *task) {
	switch t.state {
	case taskQueued:
		s.queue = slices.DeleteFunc(s.queue, func(x *task) bool { return x == t })
		t.state = taskEnded
	case taskRunning:
		s.finish(t, taskCancelled)
	}
}

// crash takes the server down. Running and queued tasks are lost and the prefix
// cache is emptied.
func (s *fakeServer) crash() {
	s.down = true
	lost := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue, s.cachedPrefixes = nil, nil, nil
	for _, t := range lost {
		previous := t.state
		t.state = taskEnded
		if previous == taskRunning {
			t.done(taskCrashed)
		} else {
			t.done(taskUnreachable)
		}
	}
}

// restart makes a server that is down accept tasks again.
func (s *fakeServer) restart() { s.down = false }
