// Package admission decides on the entry host whether a request may start. A
// request that cannot finish before its deadline is refused at once, before
// any stage spends capacity on it. Decisions read no clock and no global
// state: time, loads and randomness are passed in.
package admission

import (
	"time"

	"bilberrydale/process/errkind"
)

// Profile describes a route for admission. It is compiled once for each
// release, shared by all requests of the route and must not change afterwards.
type Profile struct {
	Route string // name of the route
	Class Class
	// Worth is the weight of one completed request of the route.
	Worth  float64
	Stages []Stage // in the order in which they run
	// AccountWeights are the fair-share weights by client account; an account
	// without a positive entry has weight 1.
	AccountWeights map[string]float64
}

// accountWeight returns the fair-share weight of a client account.
func (p *Profile) accountWeight(account string) float64 {
	if w := p.AccountWeights[account]; w > 0 {
		return w
	}
	return 1
}

// Class is the priority class of a route; a lower value is more urgent.
type Class uint8

// Priority classes, most urgent first.
const (
	Interactive Class = iota
	Standard
	Background // admitted only while the pools of its stages have free capacity
)

// Stage describes one stage of a Profile.
type Stage struct {
	Pool   string        // name of the pool that runs the stage
	Budget time.Duration // the longest time the stage is expected to take
	Cost   float64       // of one execution, in the unit of the routes table
	Slots  int           // requests that the pool runs at once
}

// Request is one request on the entry host.
type Request struct {
	Profile   *Profile
	Account   string // client account
	ArrivedAt time.Time
	Deadline  time.Time
	// Fingerprint is equal for every attempt of the same request, on any entry
	// host, such as a hash of its body; 0 if unknown.
	Fingerprint uint64
	// MayHaveQueued has to be set before StageDone, unless the backend server
	// certainly had a free slot when the stage was sent to it.
	MayHaveQueued bool
	// StreamDuration has to be set before StageDone of a streamed stage: the
	// time from the first byte of the response to its end; 0 if unknown.
	StreamDuration time.Duration

	startedStages int // stages for which StageStart was called
}

// Outcome is the result of an admitted request.
type Outcome uint8

// Outcomes.
const (
	Completed Outcome = iota // complete response within the deadline
	Late                     // complete response after the deadline
	Failed                   // no complete response
)

// Admitter makes one admission decision for each request and observes the
// requests that it admitted. Implementations are safe for concurrent use and
// never block.
type Admitter interface {
	// Admit returns nil, or a refusal whose RetryAfter is a wait after which the
	// request is expected to be admitted. After nil the caller calls Done
	// exactly once.
	Admit(now time.Time, r *Request) *errkind.Error
	// StageStart and StageDone are called before and after each stage of an
	// admitted request. stage is the index in Profile.Stages, took the duration
	// of the stage; ok is false if the stage failed.
	StageStart(now time.Time, r *Request, stage int)
	StageDone(now time.Time, r *Request, stage int, took time.Duration, ok bool)
	// Done ends an admitted request, also if some of its stages never started.
	Done(now time.Time, r *Request, o Outcome)
}

// AlwaysAdmit admits every request. It is the baseline that replays compare
// Controller with, and the admitter of tests that do not test admission.
type AlwaysAdmit struct{}

// Admit implements Admitter.
func (AlwaysAdmit) Admit(time.Time, *Request) *errkind.Error { return nil }

// StageStart implements Admitter.
func (AlwaysAdmit) StageStart(time.Time, *Request, int) {}

// StageDone implements Admitter.
func (AlwaysAdmit) StageDone(time.Time, *Request, int, time.Duration, bool) {}

// Done implements Admitter.
func (AlwaysAdmit) Done(time.Time, *Request, Outcome) {}
