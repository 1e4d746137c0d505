package objectapi

import "strings"

// kindDepth is the number of parts of a key that name its kind. The rest is the
// name, so that all parts of a release are of one kind.
const kindDepth = 2

// Separators of a key's parts in kinds and names, where a slash would be a part
// of the call's path.
const (
	kindSeparator = "-"
	nameSeparator = ":"
)

// KindAndName returns the kind and the name of the object of a key. A prefix
// of keys has the start of their names.
func KindAndName(key string) (kind, name string) {
	parts := strings.Split(key, "/")
	depth := min(kindDepth, len(parts)-1)
	return strings.Join(parts[:depth], kindSeparator), strings.Join(parts[depth:], nameSeparator)
}

// Key is the reverse of KindAndName.
func Key(kind, name string) string {
	return strings.ReplaceAll(kind, kindSeparator, "/") + "/" + strings.ReplaceAll(name, nameSeparator, "/")
}
