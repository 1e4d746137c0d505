package stages

import (
	"bilberrydale/process/batcher"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// Methods of the protocol between hosts.
const (
	methodRun            peer.Method = "stages.run"
	methodCancel         peer.Method = "stages.cancel"
	methodFree           peer.Method = "stages.free"
	methodLeave          peer.Method = "stages.leave"
	methodCachedPrefixes peer.Method = "stages.holds"
	methodHello          peer.Method = "stages.hello"
)

// runRequest requests stage work from another host. Times are relative to now because the
// clocks of two hosts differ. Structs are encoded as arrays, so the order of fields is
// the format.
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

// runResponse is the outcome of a runRequest. Reason is empty on success.
type runResponse struct {
	Inputs       []Input
	TargetID     string
	FetchFrom    string
	Reason       batcher.Reason
	Stage        int
	RetryAfterMS int64
	MeanWaitMS   int64 // mean wait for admission at the host that ran the work
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
