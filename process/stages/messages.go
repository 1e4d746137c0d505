package stages

import (
	"bilberrydale/process/batcher"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// Methods between hosts.
const (
	methodRun    peer.Method = "stages.run"
	methodCancel peer.Method = "stages.cancel"
	methodFree   peer.Method = "stages.free"
	methodLeave  peer.Method = "stages.leave"
	methodHolds  peer.Method = "stages.holds"
	methodHello  peer.Method = "stages.hello"
)

// runRequest asks another host for stage work. Times are from now: the clocks
// of two hosts do not agree.
type runRequest struct {
	ID      string
	Round   int
	Key     string
	Domain  string
	From    string
	Allowed residency.Set
	Stages  []Stage
	AimMS   int64
	DieMS   int64
	Worth   float64
	Targets []Target
	Prompt  Prompt
}

// runAnswer is the outcome; Reason is empty if there are Inputs.
type runAnswer struct {
	Inputs  []Input
	Target  string
	Fetch   string
	Reason  batcher.Reason
	Stage   int
	ReadyMS int64
	WaitMS  int64 // mean wait of requests at the host that did the work
}

type cancelRequest struct {
	ID    string
	Round int
}

func (p *Pool) request(r *Request) runRequest {
	now := p.clock.Now()
	return runRequest{
		ID: r.ID, Round: r.Round, Key: r.InputKey, Domain: r.RunDomain, From: r.HostDomain, Allowed: r.AllowedRegions, Stages: r.Stages, Worth: r.Worth, Targets: r.Targets, Prompt: r.Prompt,
		AimMS: r.TargetTime.Sub(now).Milliseconds(), DieMS: r.Deadline.Sub(now).Milliseconds(),
	}
}
