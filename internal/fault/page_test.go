package fault

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// page returns a page of docs.
func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

var callersRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\| `([a-z-]+)` \\| (\\d+) \\| .+ \\|$")

// TestCallersPageTellsEveryKindAsTheTableHasIt fails when a kind is added or
// changed and the page is not.
func TestCallersPageTellsEveryKindAsTheTableHasIt(t *testing.T) {
	told := make(map[Kind]bool)
	for _, row := range callersRow.FindAllStringSubmatch(page(t, "CALLERS.md"), -1) {
		kind := Kind(row[1])
		want, known := answers[kind]
		if !known || told[kind] {
			t.Errorf("kind %s is told twice or is not in the list", kind)
			continue
		}
		told[kind] = true
		retry := strconv.FormatInt(want.RetryAfter.Milliseconds(), 10)
		if row[2] != strconv.Itoa(want.Status) || row[3] != string(want.Outcome) || row[4] != retry {
			t.Errorf("kind %s: page says %v, table says %d, %s, %s", kind, row[2:], want.Status, want.Outcome, retry)
		}
	}
	for _, kind := range Kinds() {
		if !told[kind] {
			t.Errorf("kind %s is not on the page", kind)
		}
	}
}

func TestOperationsPageTellsWhatToDoAboutEveryKind(t *testing.T) {
	text := page(t, "OPERATIONS.md")
	for _, kind := range Kinds() {
		if !strings.Contains(text, "\n| `"+string(kind)+"` |") {
			t.Errorf("kind %s is not on the page", kind)
		}
	}
}
