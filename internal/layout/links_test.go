package layout

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

var linkPattern = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

// Relative links in Markdown files point to existing files.
func TestLinksInPagesResolve(t *testing.T) {
	walkFiles(t, ".md", func(path string, data []byte) {
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			for _, m := range linkPattern.FindAllStringSubmatch(lines.Text(), -1) {
				if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
					t.Errorf("%s: link target %s does not exist", path, m[1])
				}
			}
		}
	})
}
