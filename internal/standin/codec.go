package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Error is the body of an error response of a stand-in.
type Error struct {
	Message string
	Code    string
	// Effect is "none" if the request had no effect and will have none.
	Effect string
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string `json:"message"`
	Code    string `json:"code,omitempty"`
	Effect  string `json:"effect,omitempty"`
}

// WriteError writes an error response with an HTTP status.
func WriteError(w http.ResponseWriter, status int, e Error) {
	WriteJSON(w, status, errorBody{Error: errorFields(e)})
}

// WriteJSON writes a JSON response with an HTTP status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the response types of the stand-ins can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// ReadJSON decodes the body of a request into value. On failure it responds with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, Error{Message: err.Error(), Code: "bad_request", Effect: "none"})
		return false
	}
	return true
}

type faultBody struct {
	Kind    string `json:"kind"`
	Path    string `json:"path,omitempty"`
	Method  string `json:"method,omitempty"`
	DelayMS int64  `json:"delay_ms,omitempty"`
	Bytes   int64  `json:"bytes,omitempty"`
	Skip    int    `json:"skip,omitempty"`
	Count   int    `json:"count,omitempty"`
}

type faultsBody struct {
	Faults []faultBody `json:"faults"`
}

func (f *Faults) serveList(w http.ResponseWriter, _ *http.Request) {
	body := faultsBody{Faults: []faultBody{}}
	for _, a := range f.ActiveFaults() {
		body.Faults = append(body.Faults, faultBody{
			Kind: string(a.Kind), Path: a.Path, Method: a.Method,
			DelayMS: int64(a.Delay), Bytes: a.Bytes, Skip: a.Skip, Count: a.Count,
		})
	}
	WriteJSON(w, http.StatusOK, body)
}

func (f *Faults) serveAdd(w http.ResponseWriter, r *http.Request) {
	var b faultBody
	if !ReadJSON(w, r, &b) {
		return
	}
	kind := FaultKind(b.Kind)
	if !slices.Contains(FaultKinds, kind) {
		WriteError(w, http.StatusBadRequest, Error{Message: "unknown kind of fault: " + b.Kind, Code: "bad_request"})
		return
	}
	f.AddFault(Fault{
		Kind: kind, Path: b.Path, Method: b.Method,
		Delay: oleanderspool.Millis(b.DelayMS), Bytes: b.Bytes, Skip: b.Skip, Count: b.Count,
	})
	WriteJSON(w, http.StatusOK, struct{}{})
}

func (f *Faults) serveClear(w http.ResponseWriter, _ *http.Request) {
	f.ClearFaults()
	WriteJSON(w, http.StatusOK, struct{}{})
}
