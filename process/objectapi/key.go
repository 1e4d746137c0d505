package objectapi

import "strings"

// kindDepth is the number of leading parts of a key that form its kind. The rest
// is the name, so that all parts of a release are of one kind.
const kindDepth = 2

// Separators of the parts of a key in kinds and names. A slash would separate
// elements of the URL path.
const (
	kindSeparator = "-"
	nameSeparator = ":"
)

// KindAndName returns the kind and the name under which the platform stores the
// object of a key. For a prefix of keys, name is the prefix of their names.
func KindAndName(key string) (kind, name string) {
	parts := strings.Split(key, "/")
	depth := min(kindDepth, len(parts)-1)
	return strings.Join(parts[:depth], kindSeparator), strings.Join(parts[depth:], nameSeparator)
}

// Key returns the key of a kind and a name. It is the inverse of KindAndName.
func Key(kind, name string) string {
	return strings.ReplaceAll(kind, kindSeparator, "/") + "/" + strings.ReplaceAll(name, nameSeparator, "/")
}
