package stages

import (
	"bilberrydale/process/batcher"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// Methods between hosts.
const (
	methodRun            peer.Method = "stages.run"
	methodCancel         peer.Method = "stages.cancel"
	methodFree           peer.Method = "stages.free"
	methodLeave          peer.Method = "stages.leave"
	methodCachedPrefixes peer.Method = "stages.holds"
	methodHello          peer.Method = "stages.hello"
)

// runRequest asks another host for stage work. Times are from now: the clocks
// of two hosts do not agree.
type runRequest struct {
	ID             string
	Round          int
	InputKey       string
	RunDomain      string
	HostDomain     string
	AllowedRegions residency.Set
	Stages         []Stage
	TargetMS       int64
	DeadlineMS     int64
	Worth          float64
	Targets        []Target
	Prompt         Prompt
}

// runAnswer is the outcome; Reason is empty if there are Inputs.
type runResponse struct {
	Inputs       []Input
	TargetID     string
	FetchFrom    string
	Reason       batcher.Reason
	Stage        int
	RetryAfterMS int64
	MeanWaitMS   int64 // mean wait of requests at the host that did the work
}

type cancelRequest struct {
	ID    string
	Round int
}

func (p *Pool) newRunRequest(r *Request) runRequest {
	now := p.clock.Now()
	return runRequest{
		ID: r.ID, Round: r.Round, InputKey: r.InputKey, RunDomain: r.RunDomain, HostDomain: r.HostDomain, AllowedRegions: r.AllowedRegions, Stages: r.Stages, Worth: r.Worth, Targets: r.Targets, Prompt: r.Prompt,
		TargetMS: r.TargetTime.Sub(now).Milliseconds(), DeadlineMS: r.Deadline.Sub(now).Milliseconds(),
	}
}
