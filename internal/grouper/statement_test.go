package grouper

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestNoBareGoStatement checks that goroutines are started only through groups
// in the whole repository, except in tests.
func TestNoBareGoStatement(t *testing.T) {
	f := token.NewFileSet()
	err := filepath.WalkDir("../..", func(p string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
			return err
		}
		a, err := parser.ParseFile(f, p, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(a, func(n ast.Node) bool {
			if g, ok := n.(*ast.GoStmt); ok {
				t.Errorf("%s: go statement outside a group", f.Position(g.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
