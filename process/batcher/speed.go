package batcher

import (
	"time"

	"bilberrydale/process/serverspeed"
)

// measureSpeed records the time of a call in what this host, and by its messages others, know of a
// server's speed. ratio is that of the call's time to the expected one.
func (q *Queue) measureSpeed(s *server, ratio float64, now time.Time) {
	q.usual.Observe(&s.Speed, serverspeed.Measurement{
		Took: time.Duration(ratio * float64(q.opts.expectedCallTime(q.opts.MaxItems))), Load: 1, Slots: 1, At: now, Responses: responsesPerCall,
	})
}

// responsesPerCall is as how many responses a call counts: calls are long and few.
const responsesPerCall = 3

// idleBeforeTakeover is the time without jobs after which the speeds of servers may have changed under
// the calls of another host.
const idleBeforeTakeover = time.Second

// learnSpeedsAfterIdle takes over what other hosts have told of slow servers, if this queue had no jobs
// for a time: the host that sent the calls until now may have failed.
func (q *Queue) learnSpeedsAfterIdle(now time.Time) {
	if now.Sub(q.lastSubmit) < idleBeforeTakeover {
		return
	}
	for _, s := range q.servers {
		if f, _ := s.Speed.Figures(); len(s.calls) == 0 && f.RelativeTime > s.slowdown {
			s.slowdown = min(f.RelativeTime, maxSlowdown)
		}
	}
}
