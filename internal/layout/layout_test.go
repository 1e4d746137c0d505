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

// layers are ordered by the lifetime of their objects, from shortest to longest.
var layers = []string{"request", "connection", "version", "process"}

// layerOf returns the index in layers of an import path, or -1.
func layerOf(path string) int {
	rest, ok := strings.CutPrefix(path, "bilberrydale/")
	if !ok {
		return -1
	}
	first, _, _ := strings.Cut(rest, "/")
	for i, s := range layers {
		if s == first {
			return i
		}
	}
	return -1
}

// An object that outlives a request must not refer to it: the reference would
// keep the request's memory alive and could be read after the request has ended.
// A package may therefore import only packages of its own or of longer-lived
// layers.
func TestPackagesDoNotImportShorterLivedLayers(t *testing.T) {
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
		from := layerOf(p.ImportPath)
		if from < 0 {
			continue
		}
		seen++
		for _, imp := range p.Imports {
			if to := layerOf(imp); to >= 0 {
				g.Expect(to).To(BeNumerically(">=", from), "%s imports %s of a shorter-lived layer", p.ImportPath, imp)
			}
			g.Expect(imp).NotTo(HavePrefix("bilberrydale/entryhost"), p.ImportPath)
			// The core declares the interfaces that a platform has to provide; adapters
			// depend on the core and not the reverse.
			g.Expect(imp).NotTo(HavePrefix("bilberrydale/platform"), p.ImportPath)
		}
	}
	g.Expect(seen).To(BeNumerically(">", len(layers)))
}
