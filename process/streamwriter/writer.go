// Package streamwriter knows which software wrote the beginning of each stream. A position in a
// stream means something only to servers that run the software that wrote the stream up to there:
// what two versions write does not fit together. The package keeps the writer of each stream at
// the host that began it and, while a route may have several writers, at a few other hosts, and
// tells it to a host at which a client takes the stream up again. A host that cannot tell the
// writer says so; it never assumes one.
package streamwriter

import "cmp"

// Writer identifies the software that writes a stream. The zero Writer is that of a stream that
// has not begun.
type Writer struct {
	Service string
	Version string // of the servers' software
}

// IsZero reports whether the stream has not begun.
func (w Writer) IsZero() bool { return w == Writer{} }

// Allows reports whether a stream that w began may go on at servers of another writer.
func (w Writer) Allows(other Writer) bool { return w.IsZero() || w == other }

// compareWriters orders writers by service and version.
func compareWriters(a, b Writer) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
}
