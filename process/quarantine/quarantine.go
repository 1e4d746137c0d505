// Package quarantine bounds the backend servers lost to a request that crashes
// whatever runs it. Requests are known by fingerprint, so that a resend to
// another entry host is recognized.
package quarantine

import (
	"fmt"
	"strconv"
	"time"
)

// Fingerprint identifies the content of a request, whoever sends it.
type Fingerprint uint64

// MarshalText implements encoding.TextMarshaler: operators see it as in the
// refusals, in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(f)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("fingerprint %q is not a hexadecimal number", text)
	}
	*f = Fingerprint(v)
	return nil
}

// Verdict tells how a request may run.
type Verdict int

// Verdicts.
const (
	Allowed  Verdict = iota // run as any other
	Isolated                // a suspect: run apart from other requests
	Refused                 // in quarantine
)

// Entry is one row of the operators' list.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     int         `json:"crashes"`
	Verdict     Verdict     `json:"verdict"`
	Expires     time.Time   `json:"expires"`
}

// Guard is asked before each attempt and told of each attempt's end. Check
// takes no lock that another request holds for long.
type Guard interface {
	Check(fp Fingerprint) (v Verdict, retryAfter time.Duration)
	BeginAttempt(fp Fingerprint, server string)
	// End reports an attempt's end; died means that the server was lost while
	// it ran this request.
	EndAttempt(fp Fingerprint, server string, died bool)
	List() []Entry
	Lift(fp Fingerprint) bool
}

// Apart is what a Guard may offer beside: suspects run one a server, so that a
// crash tells which of them caused it, and a suspect that ran is cleared.
type Isolator interface {
	// Busy reports whether a suspect runs on server.
	HasSuspect(server string) bool
	// Enter takes server for the suspect; false: another one has it. Leave
	// follows once after true.
	Acquire(server string, fp Fingerprint) bool
	Release(server string)
	// Freed returns a channel that is closed at the next Leave.
	Released() <-chan struct{}
	// Alive tells that server answered.
	MarkAlive(server string)
	// Clear tells that the whole request ran to its end without harm.
	ClearSuspicion(fp Fingerprint)
}

// Open is the Guard that lets everything run: the naive variant.
type AllowAll struct{}

// Check implements Guard.
func (AllowAll) Check(Fingerprint) (Verdict, time.Duration) { return Allowed, 0 }

// Begin implements Guard.
func (AllowAll) BeginAttempt(Fingerprint, string) {}

// End implements Guard.
func (AllowAll) EndAttempt(Fingerprint, string, bool) {}

// List implements Guard.
func (AllowAll) List() []Entry { return nil }

// Lift implements Guard.
func (AllowAll) Lift(Fingerprint) bool { return false }
