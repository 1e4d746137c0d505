package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// say prints one line, unless the output is JSON.
func (e *Env) say(format string, args ...any) {
	if !e.JSON {
		fmt.Fprintf(e.Out, format+"\n", args...)
	}
}

// print writes v as JSON, or else the rows as an aligned table.
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
