// Package swreply reads and writes the JSON bodies of the stand-ins.
package swreply

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// MaxRequestBytes bounds the body of a request to a stand-in.
const MaxRequestBytes = 16 << 20

// JSON writes a value as the body of a response.
func JSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may have disconnected
}

// errorBody is the error form of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// Error writes an error in the form of the OpenAI API.
func Error(w http.ResponseWriter, status int, code, message string) {
	kind := "server_error"
	if status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	JSON(w, status, errorBody{Error: errorDetail{Message: message, Type: kind, Code: code}})
}

// Read decodes a JSON request body of at most MaxRequestBytes; unknown fields are errors.
func Read(w http.ResponseWriter, r *http.Request, value any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return errors.Wrap(err, "decode request body")
	}
	return nil
}
