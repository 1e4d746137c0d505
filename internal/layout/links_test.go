package layout

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinksOfThePagesLeadSomewhere(t *testing.T) {
	each(t, ".md", func(path string, data []byte) {
		lines := bufio.NewScanner(bytes.NewReader(data))
		for lines.Scan() {
			for _, m := range link.FindAllStringSubmatch(lines.Text(), -1) {
				if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
					t.Errorf("%s: there is no %s", path, m[1])
				}
			}
		}
	})
}
