package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// The files in which servers may be chosen.
const (
	// Reads servers from the directory without a request, to send them items that
	// carry the regions of their own requests.
	batchServersFile = "edge/regions.go"
	// Chooses the server of a request, taking into account the regions of the request
	// and the limits of cold servers.
	requestBalancingFile = "request/gateway/choose.go"
)

// Guards against a request that takes a listed server by its id, whatever its region, its software
// version and its state: Candidates.Server returns it only if the request may run there.
func TestRequestsTakeServersFromTheirCandidates(t *testing.T) {
	// Tells where stage results are, which chooses no server.
	const exception = "request/gateway/stages.go"
	walkFiles(t, ".go", func(path string, data []byte) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(rel, "request/") && !strings.HasSuffix(rel, "_test.go") && rel != exception && strings.Contains(string(data), "View().Server(") {
			t.Errorf("%s takes a server from the view; use Candidates.Server", rel)
		}
	})
}

// Guards against another place that chooses servers without considering the regions in which a
// request may be served, evacuated failure domains and cold servers.
func TestRequestsChooseServersInOnePlace(t *testing.T) {
	files := token.NewFileSet()
	chosen := 0
	walkFiles(t, ".go", func(path string, data []byte) {
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
				if called, ok := n.Fun.(*ast.SelectorExpr); ok && called.Sel.Name == "Servers" && rel != batchServersFile {
					t.Errorf("%s: reads servers from the directory without the regions of a request", files.Position(n.Pos()))
				}
			case *ast.KeyValueExpr:
				if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Servers" && strings.Contains(string(data), "balance.Query{") {
					chosen++
					if rel != requestBalancingFile {
						t.Errorf("%s: chooses the server of a request outside of the one permitted file", files.Position(n.Pos()))
					}
				}
			}
			return true
		})
	})
	if chosen != 1 {
		t.Errorf("%d places choose the server of a request; want 1, in %s", chosen, requestBalancingFile)
	}
}
