//go:build mutants

package mutants_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// root is the top of the repository, seen from this package.
	root = "../.."
	// list holds the mutants.
	list = root + "/docs/MUTANTS.md"
	// columns is the number of cells in a row of the list.
	columns = 4
	// testTimeout bounds one run of a test; a test that hangs has failed.
	testTimeout = "90s"
)

// mutant is one deliberate fault and the test that must notice it.
type mutant struct {
	// file is relative to the top of the repository.
	file string
	// old occurs exactly once in the file and is replaced by new.
	old, new string
	// pkg and test name the test that must fail, such as ./core/services/share and TestRates.
	pkg, test string
}

func TestMutants(t *testing.T) {
	mutants := read(t)
	if len(mutants) == 0 {
		t.Fatal("the list is empty")
	}
	sound := map[string]error{}
	for _, m := range mutants {
		if _, ok := sound[m.pkg+m.test]; !ok {
			_, sound[m.pkg+m.test] = run(m, "")
		}
	}
	for i, m := range mutants {
		t.Run(fmt.Sprintf("%02d-%s", i+1, m.test), func(t *testing.T) {
			if err := sound[m.pkg+m.test]; err != nil {
				t.Fatalf("%s fails without the mutant", m.test)
			}
			check(t, m)
		})
	}
}

// check fails unless the mutant compiles and its test fails.
func check(t *testing.T, m mutant) {
	t.Helper()
	overlay := write(t, m)
	if output, err := run(mutant{pkg: m.pkg, test: "Nothing"}, overlay); err != nil {
		t.Fatalf("the mutant does not compile:\n%s", output)
	}
	output, err := run(m, overlay)
	if err == nil {
		t.Errorf("survived: %s: %q for %q\n%s", m.file, m.new, m.old, output)
	}
}

// run runs a test, with files replaced as the overlay says.
func run(m mutant, overlay string) (string, error) {
	arguments := []string{"test", "-count=1", "-timeout", testTimeout, "-run", "^" + m.test + "$"}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	command := exec.Command("go", append(arguments, m.pkg)...)
	command.Dir = root
	output, err := command.CombinedOutput()
	return string(output), err
}

// write puts the mutated file and an overlay that names it into a temporary directory.
func write(t *testing.T, m mutant) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join(root, m.file))
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(content, []byte(m.old)); n != 1 {
		t.Fatalf("%s holds %q %d times, want once", m.file, m.old, n)
	}
	mutated := filepath.Join(t.TempDir(), "mutated.go")
	if err := os.WriteFile(mutated, bytes.Replace(content, []byte(m.old), []byte(m.new), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "overlay.json")
	if err := os.WriteFile(name, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// read reads the rows of the list: those whose first cell is the path of a Go file.
func read(t *testing.T) []mutant {
	t.Helper()
	content, err := os.ReadFile(list)
	if err != nil {
		t.Fatal(err)
	}
	var mutants []mutant
	for line := range strings.Lines(string(content)) {
		cells := cellsOf(line)
		if len(cells) == 0 || !strings.HasSuffix(cells[0], ".go") {
			continue
		}
		if len(cells) != columns {
			t.Fatalf("%d cells, want %d: %s", len(cells), columns, line)
		}
		pkg, test, ok := strings.Cut(cells[3], " ")
		if !ok {
			t.Fatalf("the last cell holds a package and a test: %s", line)
		}
		mutants = append(mutants, mutant{file: cells[0], old: cells[1], new: cells[2], pkg: pkg, test: test})
	}
	return mutants
}

// cellsOf splits a row of a table; a cell may be set in backquotes.
func cellsOf(line string) []string {
	const bar = "\x00"
	line = strings.ReplaceAll(strings.TrimSpace(line), `\|`, bar)
	inner, ok := strings.CutPrefix(line, "|")
	if !ok {
		return nil
	}
	var cells []string
	for cell := range strings.SplitSeq(strings.TrimSuffix(inner, "|"), "|") {
		cell = strings.Trim(strings.TrimSpace(cell), "`")
		cells = append(cells, strings.NewReplacer(bar, "|", `\n`, "\n", `\t`, "\t").Replace(cell))
	}
	return cells
}
