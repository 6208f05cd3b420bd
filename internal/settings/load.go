package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/zeromicro/go-zero/core/conf"

	"kumquatcleat/internal/strictjson"
)

// Invalid is the error for a settings file that fails validation. It lists every
// problem.
type Invalid struct {
	Path     string
	Problems []strictjson.Problem
}

// Error implements error.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return fmt.Sprintf("settings %s: %s", e.Path, strings.Join(lines, "; "))
}

// Load reads and validates a settings file. If the file is invalid, the error is an
// *Invalid that names each invalid field, its value and what is allowed.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, problems := Parse(data)
	if len(problems) > 0 {
		return nil, &Invalid{Path: path, Problems: problems}
	}
	return s, nil
}

// Parse decodes and validates the content of a settings file.
func Parse(data []byte) (*Settings, []strictjson.Problem) {
	// conf ignores unknown fields, so they are checked first.
	if problems := strictjson.Check(data, reflect.TypeFor[Settings]()); len(problems) > 0 {
		return nil, problems
	}
	s, err := load(data)
	if err != nil {
		return nil, []strictjson.Problem{{Want: "settings that load (" + err.Error() + ")"}}
	}
	if problems := s.Validate(); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// load merges a checked document over the defaults and passes the result to conf,
// which rejects absent fields.
func load(data []byte) (*Settings, error) {
	s := defaults()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	whole, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return s, conf.LoadFromJsonBytes(whole, s)
}
