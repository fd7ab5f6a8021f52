package platform

import (
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// Paths of the platform's HTTP API.
const (
	logPath       = "/log/"
	instancesPath = "/instances"
	weightsPath   = "/weights"
)

// effectNone is the value with which the platform states that a refused request
// had no effect and will have none.
const effectNone = "none"

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First int64 `json:"first"`
}

type readResponse struct {
	Records []struct {
		Offset int64  `json:"offset"`
		Data   []byte `json:"data"`
	} `json:"records"`
	Head *int64 `json:"head"`
}

type instancesResponse struct {
	Instances []struct {
		Instance   string `json:"instance"`
		DataCentre string `json:"data_centre"`
		Address    string `json:"address"`
		Role       string `json:"role"`
		Leaving    bool   `json:"leaving"`
	} `json:"instances"`
}

type weightsRequest struct {
	Artefact string `json:"artefact"`
}

type weightsResponse struct {
	WaitMS *int64 `json:"wait_ms"`
}

type errorResponse struct {
	Error struct {
		Message string `json:"message"`
		Effect  string `json:"effect"`
	} `json:"error"`
}

func encodeAppend(data [][]byte) ([]byte, error) {
	return json.Marshal(appendRequest{Records: data})
}

func decodeAppend(body []byte) (oleanderspool.Offset, error) {
	var r appendResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return 0, err
	}
	if r.First < 1 {
		return 0, oleanderspool.ErrInvalid.New("append response has offset %d, which is below 1", r.First)
	}
	return oleanderspool.Offset(r.First), nil
}

func appendPath(stream oleanderspool.Stream) string {
	return logPath + url.PathEscape(string(stream))
}

func readPath(stream oleanderspool.Stream, from oleanderspool.Offset, limit int, wait oleanderspool.Millis) string {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	return appendPath(stream) + "?" + query.Encode()
}

// decodeRead decodes the response to a read from the given offset on. It returns
// an error if the offsets do not increase or lie before from or after the head.
func decodeRead(body []byte, from oleanderspool.Offset) ([]oleanderspool.Record, oleanderspool.Offset, error) {
	var r readResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, 0, err
	}
	if r.Head == nil || *r.Head < 0 {
		return nil, 0, oleanderspool.ErrInvalid.New("read response has no valid head offset")
	}
	head := oleanderspool.Offset(*r.Head)
	records := make([]oleanderspool.Record, 0, len(r.Records))
	next := max(from, 1)
	for _, e := range r.Records {
		offset := oleanderspool.Offset(e.Offset)
		if offset < next || offset > head {
			return nil, 0, oleanderspool.ErrInvalid.New("record offset %d is outside %d to %d", offset, next, head)
		}
		records = append(records, oleanderspool.Record{Offset: offset, Data: e.Data})
		next = offset + 1
	}
	return records, head, nil
}

func decodeInstances(body []byte) ([]oleanderspool.InstanceState, error) {
	var r instancesResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Instances == nil {
		return nil, oleanderspool.ErrInvalid.New("instance list has no instances field")
	}
	states := make([]oleanderspool.InstanceState, 0, len(r.Instances))
	for _, e := range r.Instances {
		states = append(states, oleanderspool.InstanceState{
			Instance:   oleanderspool.InstanceID(e.Instance),
			DataCentre: oleanderspool.DataCentreID(e.DataCentre),
			Address:    e.Address,
			Role:       e.Role,
			Leaving:    e.Leaving,
		})
	}
	return states, nil
}

func encodeWeights(artefact string) ([]byte, error) {
	return json.Marshal(weightsRequest{Artefact: artefact})
}

func decodeWeights(body []byte) (oleanderspool.Millis, error) {
	var r weightsResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return 0, err
	}
	if r.WaitMS == nil || *r.WaitMS < 0 {
		return 0, oleanderspool.ErrInvalid.New("weight reservation has no valid wait_ms")
	}
	return oleanderspool.Millis(*r.WaitMS), nil
}

// decodeError returns the platform's message and reports whether the platform
// states that the request had no effect. noEffect is false for any body that does
// not state so.
func decodeError(body []byte) (message string, noEffect bool) {
	var r errorResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return "", false
	}
	return r.Error.Message, r.Error.Effect == effectNone
}
