package table

import (
	"fmt"
	"strings"
)

// ValidationError is an error in the tables that an operator has to correct.
type ValidationError struct {
	File    string `json:"file,omitempty"` // empty: the row was not read from a file
	Line    int    `json:"line,omitempty"` // from 1
	Row     string `json:"row"`            // "routes/draft", or "routes[2]" if the row has no name
	Field   string `json:"field"`          // "stages[1].pool"
	Problem string `json:"problem"`        // what is invalid
	Fix     string `json:"fix"`            // how to correct it

	path string // path of the field from the root: "routes[2].stages[1].pool"
}

// Error returns the file and line, if known, the row, the field, the problem and its fix.
func (e ValidationError) Error() string {
	prefix := ""
	if e.File != "" {
		prefix = fmt.Sprintf("%s:%d: ", e.File, e.Line)
	}
	return fmt.Sprintf("%s%s: %s: %s; %s", prefix, e.Row, e.Field, e.Problem, e.Fix)
}

// ValidationErrors holds all errors of both tables.
type ValidationErrors []ValidationError

// Error returns the texts of the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// position is a line of a file.
type position struct {
	file string // name
	line int    // from 1
}

// positions maps the path of a value ("routes[2].stages[1].pool") to its position in a file.
type positions map[string]position

// lookup returns the position of the value at path or, if it has none, of the innermost value
// that contains it: a missing field has no line of its own.
func (p positions) lookup(path string) (position, bool) {
	for path != "" {
		if pos, ok := p[path]; ok {
			return pos, true
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return position{}, false
		}
		path = path[:cut]
	}
	return position{}, false
}

// setPositions sets File and Line of errs.
func (p positions) setPositions(errs ValidationErrors) {
	for i := range errs {
		if pos, ok := p.lookup(errs[i].path); ok {
			errs[i].File, errs[i].Line = pos.file, pos.line
		}
	}
}
