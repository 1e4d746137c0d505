package quarantine

// Trials lets single attempts of quarantined requests run, which clear a subject or confirm its
// quarantine: crashes alone do not tell a subject from another one that ran on the same servers.
// Implementations are safe for concurrent use.
type Trials interface {
	// TrialDue reports whether this host may make an attempt of the request now.
	TrialDue(s Subjects) bool
	// TakeTrial reports the same, and takes the attempt if so, which Guard.EndAttempt ends.
	TakeTrial(s Subjects) bool
}

// Permit returns an error if a request is in quarantine and no trial of it is due.
func Permit(g Guard, s Subjects) error {
	d := g.Check(s)
	if d.Verdict != Refused {
		return nil
	}
	if t, ok := g.(Trials); ok && t.TrialDue(s) {
		return nil
	}
	return NewError(d)
}

// PermitAttempt returns an error if a request is in quarantine and gets no trial. first means that
// no attempt of it has reached a server; only then it may get one. trial means that the attempt is
// one.
func PermitAttempt(g Guard, s Subjects, first bool) (d Decision, trial bool, err error) {
	d = g.Check(s)
	if d.Verdict != Refused {
		return d, false, nil
	}
	if t, ok := g.(Trials); ok && first && t.TakeTrial(s) {
		return d, true, nil
	}
	return d, false, NewError(d)
}
