package dispatcher_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// servedPackages are the packages of the process that serves.
var servedPackages = []string{"admission", "clock", "decide", "directory", "disk", "dispatcher", "exchange", "gateway", "intake", "invariant", "ledger",
	"message", "permit", "platform", "push", "recoverystate", "endpointstate", "seglog", "settings", "sock", "syserr"}

// parseFolder parses the Go files of a folder for which keep returns true.
func parseFolder(t *testing.T, folder string, keep func(name string) bool) (files []*ast.File) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("%s: %d files, %v", folder, len(paths), err)
	}
	for _, path := range paths {
		if !keep(path) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// growingFields returns the fields of the structures in a file that hold a map, a slice or a channel, with their package and type.
func growingFields(file *ast.File) (names []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structure.Fields.List {
			array, isArray := field.Type.(*ast.ArrayType)
			_, isMap := field.Type.(*ast.MapType)
			_, isChannel := field.Type.(*ast.ChanType)
			if !isMap && !isChannel && (!isArray || array.Len != nil) {
				continue
			}
			for _, name := range field.Names {
				names = append(names, file.Name.Name+"."+spec.Name.Name+"."+name.Name)
			}
		}
		return true
	})
	return names
}

// testNames returns the names of all tests of the repository.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				names[function.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// Guards against a table, list, buffer or queue that others can make grow and that has no cap: each one of the served packages stands in
// docs/memory.md with who makes it grow, its cap, and a test that is there.
func TestEveryTableHasACap(t *testing.T) {
	text, err := os.ReadFile("../docs/memory.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "## Every table")
	if !found {
		t.Fatal("docs/memory.md has no such section")
	}
	field, tests, listed := regexp.MustCompile("`([a-z]+\\.[A-Za-z0-9]+\\.[A-Za-z0-9]+)`"), testNames(t), map[string]bool{}
	for line := range strings.Lines(table) {
		cells := strings.Split(line, "|")
		matches := field.FindAllStringSubmatch(line, -1)
		if len(matches) == 0 {
			continue
		}
		if len(cells) != 7 || strings.TrimSpace(cells[2]) == "" || strings.TrimSpace(cells[3]) == "" && !strings.Contains(cells[2], "nobody") {
			t.Errorf("a row is not complete: %.80s", line)
			continue
		}
		if test := strings.TrimSpace(cells[5]); !tests[test] {
			t.Errorf("there is no test %q: %.80s", test, line)
		}
		for _, match := range matches {
			listed[match[1]] = true
		}
	}
	for _, folder := range servedPackages {
		for _, file := range parseFolder(t, filepath.Join("..", folder), func(name string) bool { return !strings.HasSuffix(name, "_test.go") }) {
			for _, name := range growingFields(file) {
				if !listed[name] {
					t.Errorf("%s has no row in docs/memory.md: who makes it grow, and what is its cap?", name)
				}
				delete(listed, name)
			}
		}
	}
	for name := range listed {
		t.Errorf("docs/memory.md has a row for %s, which is not there", name)
	}
}

// Guards against sockets for which the kernel's buffers grow without bound: only package sock opens any, and it sets their sizes.
func TestEverySocketHasBufferSizes(t *testing.T) {
	opens := regexp.MustCompile(`\bnet\.(Dial|Listen|DialTimeout|DialTCP|ListenTCP|Dialer|ListenConfig)\b`)
	for _, folder := range servedPackages {
		paths, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatalf("%s: %d files, %v", folder, len(paths), err)
		}
		for _, path := range paths {
			if folder == "sock" || strings.HasSuffix(path, "_test.go") {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if found := opens.Find(text); found != nil {
				t.Errorf("%s opens a socket with %s: use package sock", path, found)
			}
		}
	}
}
