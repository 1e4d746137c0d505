package release

// faultKind identifies a condition of a follower that is reported to operators.
type faultKind int

const (
	faultCompileFailed       faultKind = iota // the newest release does not compile on this host
	faultPlatformBehind                       // the platform's head has a lower number than the newest release here
	faultHashMismatch                         // two releases with one number and different hashes
	faultLineageBroken                        // a release was not built on its predecessor here
	faultPlatformUnreachable                  // a watch or a write on the platform failed
	faultNoRelease                            // no release from the platform or a peer after the start
	numFaultKinds
)

// faultSet holds the active fault of each kind, or nil.
type faultSet [numFaultKinds]error

// set makes err the active fault of kind k; nil clears it.
func (s *faultSet) set(k faultKind, err error) { s[k] = err }

func (s *faultSet) clear(k faultKind) { s[k] = nil }

// active returns the faults that are set, ordered by kind.
func (s *faultSet) active() []error {
	var out []error
	for _, err := range s {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}
