package quarantine

import "bilberrydale/process/errkind"

// NewError returns the error for a request that is refused by a decision. It does not state that
// the caller's request has not run: earlier attempts of it may have.
func NewError(d Decision) *errkind.Error {
	e := errkind.New(errkind.Quarantined, "fingerprint %016x, %s", uint64(d.Subject.Fingerprint), d.Subject.Kind)
	e.RetryAfter, e.EarlierAttempt = d.RetryAfter, true
	return e
}
