package layout

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	root     = "../.."
	maxLines = 500 // of one file
)

// walkFiles calls f for every file of the repository with the suffix, except in
// hidden folders. It fails the test if there is no such file.
func walkFiles(t *testing.T, suffix string, f func(path string, data []byte)) {
	t.Helper()
	seen := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, suffix) {
			return nil
		}
		data, err := os.ReadFile(path)
		seen++
		f(path, data)
		return err
	})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seen).To(BeNumerically(">", 0))
}

// Go files have at most maxLines lines.
func TestFileLengthIsLimited(t *testing.T) {
	g := NewWithT(t)
	walkFiles(t, ".go", func(path string, data []byte) {
		g.Expect(bytes.Count(data, []byte("\n"))).To(BeNumerically("<=", maxLines), path)
	})
}

// Every package and every exported type, function and method has a doc comment.
func TestPackagesAndExportedItemsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	documented, all := map[string]bool{}, map[string]bool{}
	files := token.NewFileSet()
	walkFiles(t, ".go", func(path string, data []byte) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		f, err := parser.ParseFile(files, path, data, parser.ParseComments)
		g.Expect(err).NotTo(HaveOccurred())
		dir := filepath.Dir(path)
		all[dir] = true
		documented[dir] = documented[dir] || f.Doc != nil
		for _, d := range f.Decls {
			if name := undocumentedName(d); name != "" {
				t.Errorf("%s: exported %s has no doc comment", path, name)
			}
		}
	})
	for dir := range all {
		g.Expect(documented[dir]).To(BeTrue(), "package %s has no doc comment", dir)
	}
}

// undocumentedName returns the name of an exported item declared by d without a
// doc comment, or "".
func undocumentedName(d ast.Decl) string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Doc == nil && d.Name.IsExported() && exportedReceiver(d) {
			return d.Name.Name
		}
	case *ast.GenDecl:
		for _, s := range d.Specs {
			if ts, ok := s.(*ast.TypeSpec); ok && ts.Name.IsExported() && d.Doc == nil && ts.Doc == nil {
				return ts.Name.Name
			}
		}
	}
	return ""
}

// exportedReceiver reports whether d is a function or a method of an exported type.
func exportedReceiver(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	t := d.Recv.List[0].Type
	if star, ok := t.(*ast.StarExpr); ok {
		t = star.X
	}
	if index, ok := t.(*ast.IndexExpr); ok {
		t = index.X
	}
	name, ok := t.(*ast.Ident)
	return ok && name.IsExported()
}
