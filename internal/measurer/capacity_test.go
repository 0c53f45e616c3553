package measurer

import (
	"os"
	"strings"
	"testing"
)

// TestCapacityPageFollowsFromItsRun works the page's sums out again.
func TestCapacityPageFollowsFromItsRun(t *testing.T) {
	f, err := os.Open("../../docs/measurements/2026-12-04.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var w strings.Builder
	if err := WriteCapacity(f, &w); err != nil {
		t.Fatal(err)
	}
	p, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(p), w.String()) {
		t.Errorf("docs/CAPACITY.md does not hold these sums, run make capacity:\n%s", w.String())
	}
}
