package release

// faultKind is one thing that operators have to know of a follower.
type faultKind int

const (
	faultRefused  faultKind = iota // the newest release does not compile here
	faultBehind                    // the platform's head is lower than what is in force
	faultDiverged                  // one number with two contents
	faultReplaced                  // a release was not built on the one in force
	faultPlatform                  // the platform does not answer
	faultJoin                      // neither platform nor peer gave a release
	faultKinds
)

// faultSet holds the present faults.
type faultSet [faultKinds]error

func (s *faultSet) set(k faultKind, err error) { s[k] = err }

func (s *faultSet) clear(k faultKind) { s[k] = nil }

func (s *faultSet) all() []error {
	var out []error
	for _, err := range s {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}
