package quarantine

import "github.com/cespare/xxhash/v2"

// Kind says what a Subject is.
type Kind uint8

// Kinds of subjects. The values are part of messages between hosts.
const (
	KindContent    Kind = iota // the whole content of a request
	KindPromptPart             // a part of its prompt that other requests may share
	KindBeginning              // the first bytes of its input
)

// kindNames are the names of kinds in lists and logs.
var kindNames = [...]string{KindContent: "content", KindPromptPart: "prompt part", KindBeginning: "beginning"}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler. The text is that of String.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A name that this build does not know is
// KindContent.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = KindContent
	for kind, name := range kindNames {
		if name == string(text) {
			*k = Kind(kind)
		}
	}
	return nil
}

// Subject is an attribute of a request to which crashes are attributed: requests that differ in
// all else may have it in common.
type Subject struct {
	Fingerprint Fingerprint
	Kind        Kind
}

// Subjects are the subjects of one request, of which the first is its content.
type Subjects []Subject

// Content returns the fingerprint of the request's content.
func (s Subjects) Content() Fingerprint { return s[0].Fingerprint }

// NewSubjects returns the subjects of a request: its content and the parts of its prompt with the
// given IDs. The last part is left out, as it belongs to this request or its session.
func NewSubjects(content Fingerprint, promptParts []string) Subjects {
	out := make(Subjects, 1, max(len(promptParts), 1))
	out[0] = Subject{content, KindContent}
	for _, id := range promptParts[:max(len(promptParts)-1, 0)] {
		out = append(out, Subject{hashAs("prompt part\n", id), KindPromptPart})
	}
	return out
}

// beginningBytes is the length of a KindBeginning. A shorter input has none, as it is told from
// others by its content.
const beginningBytes = 256

// WithBeginning adds the beginning of a request's input to its subjects.
func (s Subjects) WithBeginning(input []byte) Subjects {
	if len(input) <= beginningBytes {
		return s
	}
	return append(s, Subject{hashAs("beginning\n", string(input[:beginningBytes])), KindBeginning})
}

// hashAs returns the fingerprint of a text, which differs from those of equal texts of other kinds.
func hashAs(prefix, text string) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(prefix)
	_, _ = d.WriteString(text)
	return Fingerprint(d.Sum64())
}
