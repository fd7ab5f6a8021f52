package command

import "encoding/json"

// chatBody is the wire form of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
	RequestID string        `json:"request_id,omitempty"` // for an engine
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// statusJSON is the wire form of status.
type statusJSON struct {
	Role        string `json:"role"`
	Instance    string `json:"instance"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation,omitempty"`
	Revision    int64  `json:"revision"`
	Ready       bool   `json:"ready"`
	Version     string `json:"version"`
}

// decodePlaced decodes the line of an entry's log about a placement.
func decodePlaced(line []byte) (request string, prompt int, ok bool) {
	var l struct {
		Request string `json:"request_id"`
		Prompt  int    `json:"prompt"`
	}
	err := json.Unmarshal(line, &l)
	return l.Request, l.Prompt, err == nil
}

// decodeAnswered decodes the line of an entry's log about an answer.
func decodeAnswered(line []byte) (firstToken, bool) {
	var l struct {
		Request   string  `json:"request_id"`
		First     float64 `json:"first_ms"`
		Predicted float64 `json:"predicted_ms"`
		Helpers   int     `json:"helpers"`
		Events    int     `json:"events"`
		Sends     int     `json:"sends"`
	}
	err := json.Unmarshal(line, &l)
	f := firstToken{request: l.Request, predicted: l.Predicted, real: l.First, joint: l.Helpers > 0, events: l.Events, sends: l.Sends}
	return f, err == nil
}
