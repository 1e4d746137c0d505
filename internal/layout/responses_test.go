package layout

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a reader of responses that leaves out the rules of package httpresponse.
func TestResponsesAreCheckedInOnePlace(t *testing.T) {
	const ownReader = "connection/upstream/limits.go"
	readers := 0
	walkFiles(t, ".go", func(path string, data []byte) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		// Tools of operators and tests read what hosts answer.
		if strings.HasSuffix(rel, "_test.go") || strings.HasPrefix(rel, "internal/") || strings.HasPrefix(rel, "review/") {
			return
		}
		text := string(data)
		if strings.Contains(text, "http.ReadResponse(") {
			readers++
			if rel != ownReader || !strings.Contains(text, "httpresponse.Check(") {
				t.Errorf("%s reads responses unchecked; use package upstream", rel)
			}
		}
		plain := strings.Contains(text, "http.DefaultClient") || strings.Contains(text, "http.DefaultTransport") || strings.Contains(text, "http.Get(")
		if plain || strings.Contains(text, "http.Client{") && !strings.Contains(text, "serverhttp.New(") {
			t.Errorf("%s has a client of HTTP without the checks of package serverhttp", rel)
		}
	})
	if readers != 1 {
		t.Errorf("%d files read responses; want 1, %s", readers, ownReader)
	}
}
