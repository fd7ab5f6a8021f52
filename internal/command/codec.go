package command

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
