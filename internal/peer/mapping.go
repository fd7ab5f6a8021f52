// Package peer implements the protocol between the system's own processes. It
// maps domain values to the generated messages and back by hand-written code,
// calls peers through a connection pool and serves incoming calls.
package peer

import (
	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// RunCall asks an agent to run an attempt.
type RunCall struct {
	Revision    oleanderspool.Revision
	Incarnation oleanderspool.Incarnation
	Attempt     oleanderspool.AttemptID
	Request     oleanderspool.Request
	Trial       bool                       // run without other attempts on the engine
	Group       string                     // group of backend servers that run the attempt; empty if none
	Members     []oleanderspool.InstanceID // instances of the group
	Imported    bool                       // the KV cache was imported for the attempt
}

// EncodeRun maps a call to its message. The message carries the time that remains
// from now until the deadline, since the deadline is on the local clock.
func EncodeRun(c RunCall, now oleanderspool.Millis) *peerpb.RunRequest {
	r := c.Request
	return &peerpb.RunRequest{
		Revision:     int64(c.Revision),
		Incarnation:  string(c.Incarnation),
		Request:      string(r.ID),
		Attempt:      string(c.Attempt),
		Account:      string(r.Account),
		Kind:         int32(r.Kind),
		Model:        string(r.Model),
		Adapter:      string(r.Adapter),
		Route:        string(r.Route),
		Method:       r.Method,
		Path:         r.Path,
		Idempotent:   r.Idempotent,
		Key:          string(r.Key),
		Priority:     int32(r.Priority),
		Prompt:       r.Prompt,
		Continued:    r.GeneratedText,
		MaxTokens:    int64(r.MaxTokens),
		PromptTokens: int64(r.PromptTokens),
		Body:         r.Body,
		RemainingMs:  int64(r.Remaining(now)),
		Fingerprint:  uint64(r.Fingerprint),
		Trial:        c.Trial,
		Group:        c.Group,
		Members:      stringsOf(c.Members),
		Imported:     c.Imported,
	}
}

// DecodeRun maps a message to a call. The deadline is counted from now on the
// local clock.
func DecodeRun(m *peerpb.RunRequest, now oleanderspool.Millis) RunCall {
	return RunCall{
		Revision:    oleanderspool.Revision(m.GetRevision()),
		Incarnation: oleanderspool.Incarnation(m.GetIncarnation()),
		Attempt:     oleanderspool.AttemptID(m.GetAttempt()),
		Trial:       m.GetTrial(),
		Group:       m.GetGroup(),
		Members:     idsOf[oleanderspool.InstanceID](m.GetMembers()),
		Imported:    m.GetImported(),
		Request: oleanderspool.Request{
			ID:            oleanderspool.RequestID(m.GetRequest()),
			Account:       oleanderspool.ClientAccountID(m.GetAccount()),
			Kind:          oleanderspool.RequestKind(m.GetKind()),
			Model:         oleanderspool.ModelID(m.GetModel()),
			Adapter:       oleanderspool.AdapterID(m.GetAdapter()),
			Route:         oleanderspool.RouteID(m.GetRoute()),
			Method:        m.GetMethod(),
			Path:          m.GetPath(),
			Idempotent:    m.GetIdempotent(),
			Key:           oleanderspool.IdempotencyKey(m.GetKey()),
			Priority:      int(m.GetPriority()),
			Prompt:        m.GetPrompt(),
			GeneratedText: m.GetContinued(),
			PromptTokens:  int(m.GetPromptTokens()),
			MaxTokens:     int(m.GetMaxTokens()),
			Body:          m.GetBody(),
			Deadline:      now + oleanderspool.Millis(m.GetRemainingMs()),
			Fingerprint:   oleanderspool.Fingerprint(m.GetFingerprint()),
		},
	}
}

// Failure ends the stream of an attempt without a complete answer. It is an
// error.
type Failure struct {
	Attempt oleanderspool.AttemptID
	State   string // name of the attempt's state on the agent
	// Request is set if Attempt is not the attempt of the call but another one that
	// runs the same request and has no reader; the caller attaches to it.
	Request oleanderspool.RequestID
	Refusal oleanderspool.Refusal
}

// Error returns the text of the refusal.
func (f *Failure) Error() string {
	return f.Refusal.Error()
}

// Event is one message of an attempt's stream. A heartbeat has neither a
// piece nor a failure.
type Event struct {
	Piece   *oleanderspool.Piece
	Failure *Failure
	Move    bool // the agent is leaving and offers the KV cache of the attempt
}

// EncodeEvent maps an event to its message.
func EncodeEvent(e Event, revision oleanderspool.Revision) *peerpb.Event {
	m := &peerpb.Event{Revision: int64(revision)}
	switch {
	case e.Piece != nil:
		m.Kind = &peerpb.Event_Piece{Piece: encodePiece(e.Piece)}
	case e.Failure != nil:
		m.Kind = &peerpb.Event_Failure{Failure: encodeFailure(e.Failure)}
	case e.Move:
		m.Kind = &peerpb.Event_Move{Move: &peerpb.Move{}}
	default:
		m.Kind = &peerpb.Event_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}
	}
	return m
}

// DecodeEvent maps a message to an event.
func DecodeEvent(m *peerpb.Event) Event {
	switch k := m.GetKind().(type) {
	case *peerpb.Event_Piece:
		return Event{Piece: decodePiece(k.Piece)}
	case *peerpb.Event_Failure:
		return Event{Failure: decodeFailure(k.Failure)}
	case *peerpb.Event_Move:
		return Event{Move: true}
	default:
		return Event{}
	}
}

func encodePiece(p *oleanderspool.Piece) *peerpb.Piece {
	return &peerpb.Piece{
		Request:  string(p.Request),
		Attempt:  string(p.Attempt),
		Sequence: p.Sequence,
		Text:     p.Text,
		Tokens:   int64(p.Tokens),
		Status:   int32(p.Status),
		Type:     p.Type,
		Finish:   p.Finish,
		Final:    p.Final,
	}
}

func decodePiece(m *peerpb.Piece) *oleanderspool.Piece {
	return &oleanderspool.Piece{
		Request:  oleanderspool.RequestID(m.GetRequest()),
		Attempt:  oleanderspool.AttemptID(m.GetAttempt()),
		Sequence: m.GetSequence(),
		Text:     m.GetText(),
		Tokens:   int(m.GetTokens()),
		Status:   int(m.GetStatus()),
		Type:     m.GetType(),
		Finish:   m.GetFinish(),
		Final:    m.GetFinal(),
	}
}

func encodeFailure(f *Failure) *peerpb.Failure {
	return &peerpb.Failure{
		Attempt:      string(f.Attempt),
		Reason:       string(f.Refusal.Reason),
		Execution:    f.Refusal.Execution.String(),
		RetryAfterMs: int64(f.Refusal.RetryAfter),
		Message:      f.Refusal.Message,
		RetryReason:  string(f.Refusal.Retry),
		State:        f.State,
		Request:      string(f.Request),
		Crash:        f.Refusal.Crash,
	}
}

func decodeFailure(m *peerpb.Failure) *Failure {
	return &Failure{
		Attempt: oleanderspool.AttemptID(m.GetAttempt()),
		State:   m.GetState(),
		Request: oleanderspool.RequestID(m.GetRequest()),
		Refusal: oleanderspool.Refusal{
			Retry:      oleanderspool.RetryReason(m.GetRetryReason()),
			Crash:      m.GetCrash(),
			Reason:     oleanderspool.RefusalReason(m.GetReason()),
			Execution:  oleanderspool.ParseExecution(m.GetExecution()),
			RetryAfter: oleanderspool.Millis(m.GetRetryAfterMs()),
			Message:    m.GetMessage(),
		},
	}
}

// Crash is a crash of an engine with the requests that were in flight.
type Crash struct {
	ID           string
	Fingerprints []oleanderspool.Fingerprint
	Trial        oleanderspool.AttemptID // trial attempt that ran alone; empty if none
}

// EncodeCrash maps a crash to its message.
func EncodeCrash(c Crash) *peerpb.Crash {
	m := &peerpb.Crash{Id: c.ID, Trial: string(c.Trial)}
	for _, f := range c.Fingerprints {
		m.Fingerprints = append(m.Fingerprints, uint64(f))
	}
	return m
}

// DecodeCrashes maps messages to crashes.
func DecodeCrashes(list []*peerpb.Crash) []Crash {
	crashes := make([]Crash, len(list))
	for i, m := range list {
		crashes[i] = Crash{ID: m.GetId(), Trial: oleanderspool.AttemptID(m.GetTrial())}
		for _, f := range m.GetFingerprints() {
			crashes[i].Fingerprints = append(crashes[i].Fingerprints, oleanderspool.Fingerprint(f))
		}
	}
	return crashes
}

// ImportCall asks an agent to import the KV cache of an attempt of another
// agent.
type ImportCall struct {
	Revision     oleanderspool.Revision
	Incarnation  oleanderspool.Incarnation
	Attempt      oleanderspool.AttemptID // attempt that starts after the import
	Model        oleanderspool.ModelID
	Adapter      oleanderspool.AdapterID
	MemoryTokens int64 // engine memory that the attempt needs, in tokens
	CachedTokens int64 // length of the prompt and of the answer so far, in tokens

	Source            string // IP address and port of the agent that exports
	SourceIncarnation oleanderspool.Incarnation
	SourceAttempt     oleanderspool.AttemptID
}

// EncodeImport maps a call to its message.
func EncodeImport(c ImportCall) *peerpb.ImportRequest {
	return &peerpb.ImportRequest{
		Revision:          int64(c.Revision),
		Incarnation:       string(c.Incarnation),
		Attempt:           string(c.Attempt),
		Model:             string(c.Model),
		Adapter:           string(c.Adapter),
		Tokens:            c.MemoryTokens,
		CachedTokens:      c.CachedTokens,
		Source:            c.Source,
		SourceIncarnation: string(c.SourceIncarnation),
		SourceAttempt:     string(c.SourceAttempt),
	}
}

// DecodeImport maps a message to a call.
func DecodeImport(m *peerpb.ImportRequest) ImportCall {
	return ImportCall{
		Revision:          oleanderspool.Revision(m.GetRevision()),
		Incarnation:       oleanderspool.Incarnation(m.GetIncarnation()),
		Attempt:           oleanderspool.AttemptID(m.GetAttempt()),
		Model:             oleanderspool.ModelID(m.GetModel()),
		Adapter:           oleanderspool.AdapterID(m.GetAdapter()),
		MemoryTokens:      m.GetTokens(),
		CachedTokens:      m.GetCachedTokens(),
		Source:            m.GetSource(),
		SourceIncarnation: oleanderspool.Incarnation(m.GetSourceIncarnation()),
		SourceAttempt:     oleanderspool.AttemptID(m.GetSourceAttempt()),
	}
}

// Names of the backend server roles on the wire and in settings.
const (
	RoleNameModel   = "model"
	RoleNameService = "service"
)

// EncodeState maps the state of a backend server to the message of its agent.
func EncodeState(b oleanderspool.BackendServer) *peerpb.AgentState {
	return &peerpb.AgentState{
		Revision:      int64(b.Revision),
		Instance:      string(b.Instance),
		DataCentre:    string(b.DataCentre),
		Incarnation:   string(b.Incarnation),
		Role:          roleName(b.Role),
		Leaving:       b.Leaving,
		Models:        stringsOf(b.Models),
		Routes:        stringsOf(b.Routes),
		QueuedTokens:  b.Load.QueuedTokens,
		RunningTokens: b.Load.RunningTokens,
		Queued:        int32(b.Load.Queued),
		Running:       int32(b.Load.Running),
		FreeTokens:    b.Load.FreeTokens,
		SizeTokens:    b.Load.CapacityTokens,
		PrefillRate:   b.Load.PrefillRate,
		InstantMs:     int64(b.AgentClock),
		Ahead:         encodeAhead(b.Load.TokensAhead),
	}
}

// encodeAhead returns the increase of the work ahead from each class to the next,
// without trailing zeros. The increases take fewer bytes than the values.
func encodeAhead(a oleanderspool.TokensAhead) []int64 {
	var list []int64
	previous := int64(0)
	for i, tokens := range a {
		if tokens == previous {
			continue
		}
		list = append(list, make([]int64, i+1-len(list))...)
		list[i] = tokens - previous
		previous = tokens
	}
	return list
}

// decodeAhead is the inverse of encodeAhead. Classes that this program does
// not know are ignored.
func decodeAhead(list []int64) oleanderspool.TokensAhead {
	var a oleanderspool.TokensAhead
	total := int64(0)
	for i := range a {
		if i < len(list) {
			total += list[i]
		}
		a[i] = total
	}
	return a
}

// DecodeState maps the message of an agent to the state of its backend server.
// address is the agent's address, and now the time at which the message arrived.
func DecodeState(m *peerpb.AgentState, address string, now oleanderspool.Millis) oleanderspool.BackendServer {
	role := oleanderspool.RoleModel
	if m.GetRole() == RoleNameService {
		role = oleanderspool.RoleService
	}
	return oleanderspool.BackendServer{
		Instance:    oleanderspool.InstanceID(m.GetInstance()),
		DataCentre:  oleanderspool.DataCentreID(m.GetDataCentre()),
		Address:     address,
		Incarnation: oleanderspool.Incarnation(m.GetIncarnation()),
		Role:        role,
		Models:      idsOf[oleanderspool.ModelID](m.GetModels()),
		Routes:      idsOf[oleanderspool.RouteID](m.GetRoutes()),
		Leaving:     m.GetLeaving(),
		Revision:    oleanderspool.Revision(m.GetRevision()),
		ReportedAt:  now,
		AgentClock:  oleanderspool.Millis(m.GetInstantMs()),
		Load: oleanderspool.Load{
			QueuedTokens:   m.GetQueuedTokens(),
			RunningTokens:  m.GetRunningTokens(),
			Queued:         int(m.GetQueued()),
			Running:        int(m.GetRunning()),
			FreeTokens:     m.GetFreeTokens(),
			CapacityTokens: m.GetSizeTokens(),
			PrefillRate:    m.GetPrefillRate(),
			TokensAhead:    decodeAhead(m.GetAhead()),
		},
	}
}

// roleName returns the name of a role in a report. The role of a model runner, the
// zero value, is sent as an empty name, which shortens the reports of most backend
// servers.
func roleName(r oleanderspool.ServerRole) string {
	if r == oleanderspool.RoleService {
		return RoleNameService
	}
	return ""
}

// stringsOf converts IDs to strings.
func stringsOf[T ~string](ids []T) []string {
	list := make([]string, len(ids))
	for i, id := range ids {
		list[i] = string(id)
	}
	return list
}

// idsOf converts strings to IDs.
func idsOf[T ~string](list []string) []T {
	ids := make([]T, len(list))
	for i, s := range list {
		ids[i] = T(s)
	}
	return ids
}
