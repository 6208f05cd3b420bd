package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxControlBody bounds the body of control and switch requests, in bytes.
const maxControlBody = 16 << 20

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

// decodeJSON reads the whole body. Unknown fields are errors, so that a
// misspelt switch is not taken for one that is off.
func decodeJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxControlBody))
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
