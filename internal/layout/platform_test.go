package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wireNames are names that only the platform uses: of headers, paths and fields
// of its settings, objects and calls.
var wireNames = regexp.MustCompile(`^(Attempt-Id|Deadline-Ms|Prompt-Prefix|Response-Stamp|Expect-Instance|Not-Executed|` +
	`Instance-Id|Server-Load|Token-Counts|Piece-Key|Kv-[A-Z][a-z]+|Pin-Ms|Tenant|/stage-run|/stage-free|` +
	`node_name|internal_ports|api_keys|path_prefix|traffic_split|target_latency_ms|call_seq|cold_left_ms|as_of|tenants)$`)

// The platform's names are decoded once. A second place that knows them would
// have to be found and changed with them.
func TestOnlyTheAdapterKnowsThePlatformsNames(t *testing.T) {
	files := token.NewFileSet()
	each(t, ".go", func(path string, data []byte) {
		rel, err := filepath.Rel(root, path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(rel, "platform/") || strings.HasSuffix(rel, "_test.go") {
			return
		}
		f, err := parser.ParseFile(files, path, data, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if ok && lit.Kind == token.STRING && wireNames.MatchString(strings.Trim(lit.Value, "`\"")) {
				t.Errorf("%s: %s belongs into platform/", files.Position(lit.Pos()), lit.Value)
			}
			return true
		})
	})
}

// The adapter translates. It has no goroutines, locks, timers, clocks or random
// numbers of its own: with those it would keep state or decide something.
func TestTheAdapterDecidesNothing(t *testing.T) {
	forbidden := map[string]bool{"sync": true, "sync/atomic": true, "math/rand/v2": true, "bilberrydale/process/clock": true}
	files := token.NewFileSet()
	each(t, ".go", func(path string, data []byte) {
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
				t.Errorf("%s: a goroutine", files.Position(n.Pos()))
			case *ast.SelectorExpr:
				pkg, ok := n.X.(*ast.Ident)
				if ok && pkg.Name == "time" && (n.Sel.Name == "Now" || n.Sel.Name == "After" || n.Sel.Name == "AfterFunc" || n.Sel.Name == "Sleep") {
					t.Errorf("%s: time.%s", files.Position(n.Pos()), n.Sel.Name)
				}
			}
			return true
		})
	})
}
