package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// Where servers may be taken from the directory without a request, to be given items that
// carry the regions of theirs, and where a request's server is chosen: with its regions,
// and with what cold servers bear.
const (
	serversOfBatchers = "edge/regions.go"
	choiceOfRequests  = "request/gateway/choose.go"
)

// Guards against a new choice of a server that forgets where a request may be served, which
// failure domains are evacuated, or that servers are cold.
func TestServersOfRequestsAreChosenInOnePlace(t *testing.T) {
	files := token.NewFileSet()
	chosen := 0
	each(t, ".go", func(path string, data []byte) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasSuffix(rel, "_test.go") || !strings.Contains(string(data), `"bilberrydale/process/directory"`) || strings.HasPrefix(rel, "process/directory/") {
			return
		}
		f, err := parser.ParseFile(files, path, data, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				if called, ok := n.Fun.(*ast.SelectorExpr); ok && called.Sel.Name == "Servers" && rel != serversOfBatchers {
					t.Errorf("%s: servers without the regions of a request", files.Position(n.Pos()))
				}
			case *ast.KeyValueExpr:
				if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Servers" && strings.Contains(string(data), "balance.Query{") {
					chosen++
					if rel != choiceOfRequests {
						t.Errorf("%s: a second choice of a request's server", files.Position(n.Pos()))
					}
				}
			}
			return true
		})
	})
	if chosen != 1 {
		t.Errorf("%d choices of a request's server; one was expected in %s", chosen, choiceOfRequests)
	}
}
