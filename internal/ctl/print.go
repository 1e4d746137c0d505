package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printLine prints one formatted line, unless the output is JSON.
func (e *Env) printLine(format string, args ...any) {
	if !e.JSON {
		fmt.Fprintf(e.Out, format+"\n", args...)
	}
}

// print prints v as JSON if that is selected, and otherwise the header and rows as an
// aligned table.
func (e *Env) print(v any, header []string, rows [][]string) error {
	if e.JSON {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
