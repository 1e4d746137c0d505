package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// The platform adapter only translates between the core and the platform's API.
// It must not use goroutines, locks, timers, clocks or random numbers, with which
// it could keep state or make decisions.
func TestPlatformAdapterIsStateless(t *testing.T) {
	forbidden := map[string]bool{"sync": true, "sync/atomic": true, "math/rand/v2": true, "bilberrydale/process/clock": true}
	files := token.NewFileSet()
	walkFiles(t, ".go", func(path string, data []byte) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		if filepath.Dir(rel) != "platform" || strings.HasSuffix(rel, "_test.go") {
			return
		}
		f, err := parser.ParseFile(files, path, data, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, imp := range f.Imports {
			if name := strings.Trim(imp.Path.Value, `"`); forbidden[name] {
				t.Errorf("%s imports %s", rel, name)
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				t.Errorf("%s: the platform adapter starts a goroutine", files.Position(n.Pos()))
			case *ast.SelectorExpr:
				pkg, ok := n.X.(*ast.Ident)
				if ok && pkg.Name == "time" && (n.Sel.Name == "Now" || n.Sel.Name == "After" || n.Sel.Name == "AfterFunc" || n.Sel.Name == "Sleep") {
					t.Errorf("%s: the platform adapter uses time.%s", files.Position(n.Pos()), n.Sel.Name)
				}
			}
			return true
		})
	})
}
