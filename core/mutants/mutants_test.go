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
	// repositoryRoot is the path from this package to the root of the repository.
	repositoryRoot = "../.."
	// mutantsFile is the file with the table of mutants.
	mutantsFile = repositoryRoot + "/docs/MUTANTS.md"
	// columnCount is the number of cells in a row of the table.
	columnCount = 4
	// testTimeout bounds one run of a test; a test that hangs counts as failed.
	testTimeout = "90s"
)

// mutant is a deliberate fault in the code and the test that must detect it.
type mutant struct {
	// file is relative to the root of the repository.
	file string
	// old occurs exactly once in the file and is replaced by new.
	old, new string
	// pkg and test are the package and the name of the test that must fail, such as ./core/services/share and TestRates.
	pkg, test string
}

func TestMutants(t *testing.T) {
	mutants := readMutants(t)
	if len(mutants) == 0 {
		t.Fatal("the table of mutants is empty")
	}
	baseline := map[string]error{}
	for _, m := range mutants {
		if _, ok := baseline[m.pkg+m.test]; !ok {
			_, baseline[m.pkg+m.test] = runTest(m, "")
		}
	}
	for i, m := range mutants {
		t.Run(fmt.Sprintf("%02d-%s", i+1, m.test), func(t *testing.T) {
			if err := baseline[m.pkg+m.test]; err != nil {
				t.Fatalf("%s fails without the mutant", m.test)
			}
			checkMutant(t, m)
		})
	}
}

// checkMutant fails unless the mutant compiles and its test fails. A run that matches no test checks only the compilation.
func checkMutant(t *testing.T, m mutant) {
	t.Helper()
	overlay := writeOverlay(t, m)
	if output, err := runTest(mutant{pkg: m.pkg, test: "NoSuchTest"}, overlay); err != nil {
		t.Fatalf("the mutant does not compile:\n%s", output)
	}
	output, err := runTest(m, overlay)
	if err == nil {
		t.Errorf("the test passed with the mutant: %s: %q in place of %q\n%s", m.file, m.new, m.old, output)
	}
}

// runTest runs a test with the files of the overlay, unless it is empty, and returns the output.
func runTest(m mutant, overlay string) (string, error) {
	arguments := []string{"test", "-count=1", "-timeout", testTimeout, "-run", "^" + m.test + "$"}
	if overlay != "" {
		arguments = append(arguments, "-overlay", overlay)
	}
	command := exec.Command("go", append(arguments, m.pkg)...)
	command.Dir = repositoryRoot
	output, err := command.CombinedOutput()
	return string(output), err
}

// writeOverlay writes the mutated file and an overlay for the go command that substitutes it to temporary directories, and
// returns the path of the overlay.
func writeOverlay(t *testing.T, m mutant) string {
	t.Helper()
	path, err := filepath.Abs(filepath.Join(repositoryRoot, m.file))
	if err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(content, []byte(m.old)); n != 1 {
		t.Fatalf("%s: found %q %d times, want once", m.file, m.old, n)
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

// readMutants reads the rows of the table whose first cell is the path of a Go file.
func readMutants(t *testing.T) []mutant {
	t.Helper()
	content, err := os.ReadFile(mutantsFile)
	if err != nil {
		t.Fatal(err)
	}
	var mutants []mutant
	for line := range strings.Lines(string(content)) {
		cells := splitRow(line)
		if len(cells) == 0 || !strings.HasSuffix(cells[0], ".go") {
			continue
		}
		if len(cells) != columnCount {
			t.Fatalf("got %d cells, want %d: %s", len(cells), columnCount, line)
		}
		pkg, test, ok := strings.Cut(cells[3], " ")
		if !ok {
			t.Fatalf("the last cell must hold a package and a test, separated by a space: %s", line)
		}
		mutants = append(mutants, mutant{file: cells[0], old: cells[1], new: cells[2], pkg: pkg, test: test})
	}
	return mutants
}

// splitRow returns the cells of a row of a Markdown table, without backquotes and with the escapes of bars, newlines and
// tabs resolved; nil if the line is not a row.
func splitRow(line string) []string {
	const escapedBar = "\x00"
	line = strings.ReplaceAll(strings.TrimSpace(line), `\|`, escapedBar)
	inner, ok := strings.CutPrefix(line, "|")
	if !ok {
		return nil
	}
	var cells []string
	for cell := range strings.SplitSeq(strings.TrimSuffix(inner, "|"), "|") {
		cell = strings.Trim(strings.TrimSpace(cell), "`")
		cells = append(cells, strings.NewReplacer(escapedBar, "|", `\n`, "\n", `\t`, "\t").Replace(cell))
	}
	return cells
}
