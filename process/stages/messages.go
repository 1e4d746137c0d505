package stages

import (
	"time"

	"bilberrydale/process/batcher"
	"bilberrydale/process/peer"
	"bilberrydale/process/residency"
)

// Methods of the protocol between hosts. The strings are the wire format.
const (
	methodRun            peer.Method = "stages.run"    // run the stage work of a request and return its outcome
	methodRunFor         peer.Method = "stages.runfor" // as methodRun, with the account and the priority
	methodCancel         peer.Method = "stages.cancel" // cancel that work
	methodFree           peer.Method = "stages.free"   // free the stored results of that work
	methodLeave          peer.Method = "stages.leave"  // the caller is shutting down
	methodCachedPrefixes peer.Method = "stages.holds"  // notices of servers that have cached prompt prefixes
	methodHello          peer.Method = "stages.hello"  // no content; used by Ping and Announce
)

// runRequest is the payload of methodRun; its fields are those of Request. Times are relative to
// now because the clocks of two hosts differ. Structs are encoded as arrays, so the order of
// fields is the format.
type runRequest struct {
	ID             string
	Round          int
	InputKey       string
	RunDomain      string
	HostDomain     string
	AllowedRegions residency.Set
	Stages         []Stage
	TargetMS       int64 // milliseconds from now to Request.TargetTime
	DeadlineMS     int64 // milliseconds from now to Request.Deadline
	Worth          float64
	Targets        []Target
	Prompt         Prompt
}

// accountRunRequest is the payload of methodRunFor: a runRequest and the fields of Request that it
// lacks. A host of a build without the method refuses it; see Pool.callRun.
type accountRunRequest struct {
	Run       runRequest
	Account   string
	Weight    float64
	Priority  int
	Continues bool
}

// runResponse is the outcome of a runRequest or an accountRunRequest. On success Reason is empty; otherwise Stage and
// RetryAfterMS are those of the Error, and Inputs is empty.
type runResponse struct {
	Inputs       []Input
	TargetID     string
	FetchFrom    string
	Reason       batcher.Reason
	Stage        int
	RetryAfterMS int64
	// ExpectedWaitMS is the wait for admission, at the host that ran the work, of a request like
	// this one that arrives at the time of the response.
	ExpectedWaitMS int64
}

// cancelRequest is the payload of methodCancel. It names the work by Request.ID and Request.Round.
type cancelRequest struct {
	ID    string
	Round int
}

// newAccountRunRequest returns the message that requests the stage work of r for its account.
func (p *Pool) newAccountRunRequest(r *Request) accountRunRequest {
	return accountRunRequest{Run: p.newRunRequest(r), Account: r.Account, Weight: r.Weight, Priority: r.Priority, Continues: r.Continues}
}

// newRunRequest returns the message that requests the stage work of r.
func (p *Pool) newRunRequest(r *Request) runRequest {
	now := p.clock.Now()
	return runRequest{
		ID: r.ID, Round: r.Round, InputKey: r.InputKey, RunDomain: r.RunDomain, HostDomain: r.HostDomain, AllowedRegions: r.AllowedRegions, Stages: r.Stages, Worth: r.Worth, Targets: r.Targets, Prompt: r.Prompt,
		TargetMS: r.TargetTime.Sub(now).Milliseconds(), DeadlineMS: r.Deadline.Sub(now).Milliseconds(),
	}
}

// request returns the request of a message that arrived at now.
func (q *runRequest) request(now time.Time) *Request {
	return &Request{
		ID: q.ID, Round: q.Round, InputKey: q.InputKey, RunDomain: q.RunDomain, HostDomain: q.HostDomain, AllowedRegions: q.AllowedRegions, Stages: q.Stages, Worth: q.Worth, Targets: q.Targets, Prompt: q.Prompt,
		Priority: defaultPriority, WithoutShare: true,
		TargetTime: now.Add(time.Duration(q.TargetMS) * time.Millisecond),
		Deadline:   now.Add(time.Duration(q.DeadlineMS) * time.Millisecond),
	}
}

// defaultPriority is the priority of requests whose host does not send it. It lies between the most
// and the least urgent one, so that they neither pass all others nor wait behind all.
const defaultPriority = 1

// request returns the request of a message that arrived at now.
func (q *accountRunRequest) request(now time.Time) *Request {
	r := q.Run.request(now)
	r.Account, r.Weight, r.Priority, r.Continues, r.WithoutShare = q.Account, q.Weight, q.Priority, q.Continues, false
	return r
}
