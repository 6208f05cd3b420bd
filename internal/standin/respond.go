package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxControlBodyBytes bounds the body of control and fault injection requests.
const maxControlBodyBytes = 16 << 20

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// decodeJSON decodes the request body. Unknown fields are errors, so that a
// misspelled fault is not silently left off.
func decodeJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("standin: body of %s: %w", r.URL.Path, err)
	}
	return nil
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

func badRequest(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), http.StatusBadRequest)
}
