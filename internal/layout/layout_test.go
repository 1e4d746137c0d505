package layout

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// lifeSpans are the layers from the shortest to the longest life.
var lifeSpans = []string{"request", "connection", "version", "process"}

func span(path string) int {
	rest, ok := strings.CutPrefix(path, "bilberrydale/")
	if !ok {
		return -1
	}
	first, _, _ := strings.Cut(rest, "/")
	for i, s := range lifeSpans {
		if s == first {
			return i
		}
	}
	return -1
}

// A package that outlives a request must not refer to one: the reference would
// keep the request's memory alive and read it after its end.
func TestPackagesImportOnlyWhatLivesAsLong(t *testing.T) {
	g := NewWithT(t)
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", "bilberrydale/...").Output()
	g.Expect(err).NotTo(HaveOccurred())
	dec := json.NewDecoder(strings.NewReader(string(out)))
	seen := 0
	for {
		var p struct {
			ImportPath string
			Imports    []string
		}
		err := dec.Decode(&p)
		if errors.Is(err, io.EOF) {
			break
		}
		g.Expect(err).NotTo(HaveOccurred())
		from := span(p.ImportPath)
		if from < 0 {
			continue
		}
		seen++
		for _, imp := range p.Imports {
			if to := span(imp); to >= 0 {
				g.Expect(to).To(BeNumerically(">=", from), "%s imports %s, which lives shorter", p.ImportPath, imp)
			}
			g.Expect(imp).NotTo(HavePrefix("bilberrydale/entryhost"), p.ImportPath)
			// The core tells what it needs of a platform; adapters depend on it.
			g.Expect(imp).NotTo(HavePrefix("bilberrydale/platform"), p.ImportPath)
		}
	}
	g.Expect(seen).To(BeNumerically(">", len(lifeSpans)))
}
