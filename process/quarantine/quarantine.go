// Package quarantine bounds the number of backend servers lost to a request that
// crashes every server that runs it, and to requests that have in common what crashes
// servers. Crashes are attributed to the subjects of a request (see Subject), so that a
// resend, or another request with the same cause, is recognized at any entry host.
package quarantine

import "time"

// Verdict is the decision about how a request may run.
type Verdict int

// Verdicts of a Guard. The values are part of the operators' list.
const (
	Allowed  Verdict = iota // the request may run like any other
	Isolated                // the request is a suspect: at most one suspect runs on a server
	Refused                 // the request is in quarantine
)

// Decision is the verdict on a request.
type Decision struct {
	Verdict    Verdict
	Subject    Subject       // that is in quarantine; valid with Refused
	RetryAfter time.Duration // remaining time of its quarantine; valid with Refused
}

// Entry is one subject in the operators' list of suspects and quarantined subjects.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Kind        Kind        `json:"kind"`
	Crashes     int         `json:"crashes"` // attributed to the subject
	Verdict     Verdict     `json:"verdict"`
	Expires     time.Time   `json:"expires"` // end of the suspicion or quarantine
}

// Guard decides which requests may run, from the crashes reported to it.
// Implementations are safe for concurrent use.
type Guard interface {
	// Check returns the verdict on a request. It is called before each attempt
	// and does not block on other requests.
	Check(s Subjects) Decision
	// BeginAttempt reports the start of an attempt on server. EndAttempt follows
	// once.
	BeginAttempt(s Subjects, server string)
	// EndAttempt reports the end of an attempt; crashed means that the server
	// was lost while it ran the request.
	EndAttempt(s Subjects, server string, crashed bool)
	// List returns the suspects and the quarantined subjects by fingerprint.
	List() []Entry
	// Lift ends the suspicion or quarantine of a subject. It returns false if
	// no crash of it is on record.
	Lift(fp Fingerprint) bool
}

// Isolator is an optional interface of a Guard. At most one suspect runs on a server
// at a time, so that a crash can be attributed to one of them, and a suspect that
// completes is cleared of suspicion.
type Isolator interface {
	// HasSuspect reports whether a suspect runs on server.
	HasSuspect(server string) bool
	// Acquire reserves server for the suspect with the content fp. It returns false if another
	// suspect has the server. After true, Release follows once.
	Acquire(server string, fp Fingerprint) bool
	// Release ends the reservation of server.
	Release(server string)
	// Released returns a channel that is closed at the next Release of any server.
	Released() <-chan struct{}
	// MarkAlive reports that server responded.
	MarkAlive(server string)
	// ClearSuspicion reports that all stages of a request completed without a crash. A
	// quarantine of one of its subjects that began meanwhile ends.
	ClearSuspicion(s Subjects)
}

// AllowAll is a Guard that lets every request run: the naive baseline of the tests.
type AllowAll struct{}

// Check implements Guard.
func (AllowAll) Check(Subjects) Decision { return Decision{} }

// BeginAttempt implements Guard.
func (AllowAll) BeginAttempt(Subjects, string) {}

// EndAttempt implements Guard.
func (AllowAll) EndAttempt(Subjects, string, bool) {}

// List implements Guard.
func (AllowAll) List() []Entry { return nil }

// Lift implements Guard.
func (AllowAll) Lift(Fingerprint) bool { return false }
