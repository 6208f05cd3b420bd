// Package trace explains the handling of a request, given its ID and the logs of
// kumquatcleat-gateway processes. It shows the request and the log lines about the
// state that its routing depended on.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one structured log line.
type Line struct {
	Source  string // the last word before the JSON object, or else the file name
	Time    time.Time
	Message string
	Fields  map[string]any
}

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Read returns the structured lines of a log and skips all others. A log collector
// may have put text such as a time and a VM name before the JSON object of a line;
// the last word of that text becomes the source of the line.
func Read(source string, in io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		before, object, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(append([]byte("{"), object...), &fields) != nil {
			continue // not a structured log line
		}
		line := Line{Source: source, Fields: fields}
		if words := strings.Fields(string(before)); len(words) > 0 {
			line.Source = words[len(words)-1]
		}
		line.Message, _ = fields["msg"].(string)
		if text, ok := fields["time"].(string); ok {
			line.Time, _ = time.Parse(time.RFC3339Nano, text)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("trace: read log %s: %w", source, err)
	}
	return lines, nil
}

// Lookback is the time span before a request's log line from which related lines are
// shown.
const Lookback = 5 * time.Second

// Explanation holds the log lines that concern a request.
type Explanation struct {
	Request []Line // from the VMs that answered it, one line per attempt of its caller
	// Related are the lines that may explain the request's handling, from Lookback
	// before its log line until 1 ms after it. They come from the VM that served it
	// and, for key ownership, from every VM; see isRelated.
	Related []Line
}

// Explain collects the log lines that concern the request with the given ID.
func Explain(lines []Line, id string) Explanation {
	var e Explanation
	for _, l := range lines {
		if l.Fields["request"] == id {
			e.Request = append(e.Request, l)
		}
	}
	for _, r := range e.Request {
		names := serviceAndServers(r)
		from, to := r.Time.Add(-Lookback), r.Time.Add(time.Millisecond)
		for _, l := range lines {
			if l.Fields["request"] != nil || l.Time.Before(from) || l.Time.After(to) {
				continue
			}
			if isRelated(l, r.Source, names) {
				e.Related = append(e.Related, l)
			}
		}
	}
	slices.SortStableFunc(e.Related, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return e
}

// serviceAndServers returns the names of the service and of the servers tried that
// a request's log line mentions.
func serviceAndServers(r Line) map[string]bool {
	names := map[string]bool{}
	if service, ok := r.Fields["service"].(string); ok && service != "" {
		names[service] = true
	}
	attempts, _ := r.Fields["attempts"].([]any)
	for _, a := range attempts {
		if words := strings.Fields(fmt.Sprint(a)); len(words) > 0 {
			names[words[0]] = true
		}
	}
	return names
}

// isRelated reports whether a log line may explain the handling of a request that
// vm served. names are the request's service and servers. Lines about the owners of
// keys are related from every VM: with the prefix "lead" always, with the prefix
// "keyspace" if they name one of names. All other lines are related only if they are
// from vm; with the prefix "registry" they must also name one of names.
func isRelated(l Line, vm string, names map[string]bool) bool {
	prefix, _, _ := strings.Cut(l.Message, ":")
	named := false
	for _, field := range []string{"service", "server"} {
		if name, ok := l.Fields[field].(string); ok && names[name] {
			named = true
		}
	}
	switch prefix {
	case "keyspace":
		return named
	case "lead":
		return true
	case "registry":
		return named && l.Source == vm
	default:
		return l.Source == vm
	}
}

// Print writes the explanation as text.
func (e Explanation) Print(out io.Writer) {
	for _, r := range e.Request {
		_, _ = fmt.Fprintf(out, "%s %s %s\n", r.Time.Format("15:04:05.000"), r.Source, r.Message)
		for _, name := range []string{"status", "us", "route", "service", "version", "idempotent", "key", "record", "kind", "reason", "outcome"} {
			if value, ok := r.Fields[name]; ok {
				_, _ = fmt.Fprintf(out, "  %-10s %v\n", name, value)
			}
		}
		attempts, _ := r.Fields["attempts"].([]any)
		for i, a := range attempts {
			_, _ = fmt.Fprintf(out, "  attempt %d  %v\n", i+1, a)
		}
	}
	_, _ = fmt.Fprintf(out, "related log lines, from %v before the request:\n", Lookback)
	for _, b := range e.Related {
		_, _ = fmt.Fprintf(out, "%s %s %s%s\n", b.Time.Format("15:04:05.000"), b.Source, b.Message, formatFields(b.Fields))
	}
}

// formatFields formats all fields of a log line except time, level and message.
func formatFields(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if name != "time" && name != "level" && name != "msg" {
			parts = append(parts, fmt.Sprintf(" %s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, "")
}
