package table

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong in the tables.
type ValidationError struct {
	File    string `json:"file,omitempty"` // empty: the row did not come from a file
	Line    int    `json:"line,omitempty"`
	Row     string `json:"row"`   // "routes/draft"
	Field   string `json:"field"` // "stages[1].pool"
	Problem string `json:"problem"`
	Fix     string `json:"fix"`

	at string // place in the lists: "routes[2].stages[1].pool"
}

// Error implements error: the place, what is wrong there and its fix.
func (f ValidationError) Error() string {
	place := ""
	if f.File != "" {
		place = fmt.Sprintf("%s:%d: ", f.File, f.Line)
	}
	return fmt.Sprintf("%s%s: %s: %s; %s", place, f.Row, f.Field, f.Problem, f.Fix)
}

// Faults is the error that reports every fault of a pair of tables at once.
type ValidationErrors []ValidationError

// Error implements error: one line a fault.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// place is a position in a file.
type place struct {
	file string
	line int
}

// places maps a place in the lists ("routes[2].stages[1].pool") to its
// position in a file.
type places map[string]place

// find returns the position of at, or of the nearest thing around it: a field
// that is missing has no line of its own.
func (p places) find(at string) (place, bool) {
	for at != "" {
		if pos, ok := p[at]; ok {
			return pos, true
		}
		cut := strings.LastIndexAny(at, ".[")
		if cut < 0 {
			return place{}, false
		}
		at = at[:cut]
	}
	return place{}, false
}

func (p places) locate(faults ValidationErrors) {
	for i := range faults {
		if pos, ok := p.find(faults[i].at); ok {
			faults[i].File, faults[i].Line = pos.file, pos.line
		}
	}
}
