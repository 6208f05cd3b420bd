package fault

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// page returns the text of a page in docs.
func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

var callersRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| `([a-z-]+)` \\| (\\d+) \\| .+ \\|$")

// TestCallersPageMatchesAnswerTable guards against adding or changing a kind without
// updating the page.
func TestCallersPageMatchesAnswerTable(t *testing.T) {
	listed := make(map[Kind]bool)
	for _, row := range callersRow.FindAllStringSubmatch(page(t, "CALLERS.md"), -1) {
		kind := Kind(row[1])
		want, known := answers[kind]
		if !known || listed[kind] {
			t.Errorf("kind %s is on the page twice or is not defined", kind)
			continue
		}
		listed[kind] = true
		retry := strconv.FormatInt(want.RetryAfter.Milliseconds(), 10)
		if row[2] != strconv.Itoa(want.Status) || row[3] != string(want.Outcome) || row[4] != retry {
			t.Errorf("kind %s: got %v on the page, want %d, %s, %s", kind, row[2:], want.Status, want.Outcome, retry)
		}
	}
	for _, kind := range Kinds() {
		if !listed[kind] {
			t.Errorf("kind %s is not on the page", kind)
		}
	}
}

func TestOperationsPageListsEveryKind(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	for _, kind := range Kinds() {
		if !strings.Contains(text, "\n| `"+string(kind)+"` |") {
			t.Errorf("kind %s is not on the page", kind)
		}
	}
}
