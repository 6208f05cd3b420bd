package settings

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

func operationsPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// eachField calls f with the path and the value of every field of a struct.
func eachField(prefix string, v reflect.Value, f func(path string, value reflect.Value)) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if v.Field(i).Kind() == reflect.Struct {
			eachField(prefix+name+".", v.Field(i), f)
			continue
		}
		f(prefix+name, v.Field(i))
	}
}

// TestOperationsPageListsEverySettingAndDefault fails if a setting is added or a default
// changed without a change of the page.
func TestOperationsPageListsEverySettingAndDefault(t *testing.T) {
	text := operationsPage(t)
	eachField("", reflect.ValueOf(*defaults()), func(path string, value reflect.Value) {
		row := regexp.MustCompile("(?m)^\\| `" + regexp.QuoteMeta(path) + "` \\| [^|]*\\| ([^|]*) \\|").FindStringSubmatch(text)
		if row == nil {
			t.Errorf("setting %s is not on the page", path)
			return
		}
		data, err := json.Marshal(value.Interface())
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Trim(string(data), `"`)
		got := strings.Trim(row[1], "`")
		if want == "" {
			if got != "none, required" && got != "empty" {
				t.Errorf("%s: got default %q on the page, want none", path, got)
			}
			return
		}
		if got != want {
			t.Errorf("%s: got default %q on the page, want %q as in the code", path, got, want)
		}
	})
}

var logLine = regexp.MustCompile(`(?:Debug|Info|Warn|Error|Log)\("([a-z]+: )`)

// TestOperationsPageListsEveryLogPrefix fails if the code uses a log prefix that is not
// on the page.
func TestOperationsPageListsEveryLogPrefix(t *testing.T) {
	text := operationsPage(t)
	found := 0
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, line := range logLine.FindAllStringSubmatch(string(data), -1) {
			found++
			if !strings.Contains(text, "| `"+line[1]+"` |") {
				t.Errorf("%s: prefix %q is not on the page", path, line[1])
			}
		}
		return err
	})
	if err != nil || found == 0 {
		t.Errorf("got %d log lines in the code, error %v, want some lines and no error", found, err)
	}
}
