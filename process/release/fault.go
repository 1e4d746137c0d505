package release

// faultKind is one thing that operators have to know of a follower.
type faultKind int

const (
	faultCompileFailed       faultKind = iota // the newest release does not compile here
	faultPlatformBehind                       // the platform's head is lower than what is in force
	faultHashMismatch                         // one number with two contents
	faultLineageBroken                        // a release was not built on the one in force
	faultPlatformUnreachable                  // the platform does not answer
	faultNoRelease                            // neither platform nor peer gave a release
	numFaultKinds
)

// faultSet holds the present faults.
type faultSet [numFaultKinds]error

func (s *faultSet) set(k faultKind, err error) { s[k] = err }

func (s *faultSet) clear(k faultKind) { s[k] = nil }

func (s *faultSet) active() []error {
	var out []error
	for _, err := range s {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}
