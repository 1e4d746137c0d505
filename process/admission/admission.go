// Package admission decides at the entry whether a request may start. A
// request that cannot finish in time is refused at once, before any stage is
// spent on it. The decision is pure: time and state are given.
package admission

import (
	"time"

	"bilberrydale/process/kind"
)

// Profile is what the decision needs to know of a route. It is compiled once
// for a release and shared by all its requests.
type Profile struct {
	Route  string
	Class  Class
	Worth  float64
	Stages []Stage
	// Shares are the weights of client accounts in fair shares; others weigh 1.
	AccountWeights map[string]float64
}

// share returns the weight of an account.
func (p *Profile) share(account string) float64 {
	if w := p.AccountWeights[account]; w > 0 {
		return w
	}
	return 1
}

// Class orders competing requests; a lower value is more urgent.
type Class uint8

// Classes.
const (
	Interactive Class = iota
	Standard
	Background
)

// Stage is one stage of a Profile.
type Stage struct {
	Pool   string
	Budget time.Duration
	Cost   float64
	Slots  int // requests that the pool runs at once
}

// Request is one request at the entry.
type Request struct {
	Profile   *Profile
	Account   string // client account
	ArrivedAt time.Time
	Deadline  time.Time
	// Identity is the same when the caller sends the request again, on
	// whichever entry host, such as a hash of its body; 0: unknown.
	Fingerprint uint64
	// Waited is set before StageDone unless the backend server surely had a free
	// slot as the stage was sent to it.
	MayHaveQueued bool
	// Running is set before StageDone of a streamed stage: the time from the
	// first byte of the answer to its end; 0: unknown.
	StreamDuration time.Duration

	reached int // stages started
}

// Outcome tells how an admitted request ended.
type Outcome uint8

// Outcomes.
const (
	Completed Outcome = iota // whole answer within the deadline
	Late                     // whole answer after the deadline
	Failed
)

// Admitter is asked once for each request. Implementations are safe for
// concurrent use and never block.
type Admitter interface {
	// Admit returns nil or the refusal with a truthful RetryAfter. After nil
	// exactly one Done follows.
	Admit(now time.Time, r *Request) *kind.Error
	// StageStart and StageDone bracket each stage of an admitted request.
	StageStart(now time.Time, r *Request, stage int)
	StageDone(now time.Time, r *Request, stage int, took time.Duration, ok bool)
	Done(now time.Time, r *Request, o Outcome)
}

// Always admits every request: the naive variant.
type AlwaysAdmit struct{}

// Admit implements Admitter.
func (AlwaysAdmit) Admit(time.Time, *Request) *kind.Error { return nil }

// StageStart implements Admitter.
func (AlwaysAdmit) StageStart(time.Time, *Request, int) {}

// StageDone implements Admitter.
func (AlwaysAdmit) StageDone(time.Time, *Request, int, time.Duration, bool) {}

// Done implements Admitter.
func (AlwaysAdmit) Done(time.Time, *Request, Outcome) {}
