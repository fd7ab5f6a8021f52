package openai

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// Error types that client libraries recognize.
const (
	typeInvalid        = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typeNotFound       = "not_found_error"
	typeRateLimit      = "rate_limit_error"
	typeConflict       = "conflict_error"
	typeOverloaded     = "overloaded_error"
	typeServer         = "server_error"
	typeTimeout        = "timeout_error"
)

// statusCancelled is the status of a request that its caller cancelled. It is
// not a registered HTTP status; it appears only in logs and counters, since the
// caller no longer reads the response.
const statusCancelled = 499

// errorMapping maps a refusal reason to an HTTP status and an error type.
type errorMapping struct {
	reason    oleanderspool.RefusalReason
	status    int
	errorType string
}

// errorMappings holds the mapping of every refusal reason. Client libraries retry
// 408, 409, 429 and all 5xx automatically, so reasons for which a retry is
// useless have other statuses.
var errorMappings = []errorMapping{
	{oleanderspool.RefusalBadRequest, http.StatusBadRequest, typeInvalid},
	{oleanderspool.RefusalUnknownAccount, http.StatusUnauthorized, typeAuthentication},
	{oleanderspool.RefusalUnknownModel, http.StatusNotFound, typeNotFound},
	{oleanderspool.RefusalUnknownRoute, http.StatusNotFound, typeNotFound},
	{oleanderspool.RefusalPromptTooLong, http.StatusBadRequest, typeInvalid},
	{oleanderspool.RefusalBodyTooLarge, http.StatusRequestEntityTooLarge, typeInvalid},
	{oleanderspool.RefusalHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge, typeInvalid},
	{oleanderspool.RefusalSlowSender, http.StatusRequestTimeout, typeTimeout},
	{oleanderspool.RefusalAccountRateLimit, http.StatusTooManyRequests, typeRateLimit},
	{oleanderspool.RefusalAccountShare, http.StatusTooManyRequests, typeRateLimit},
	{oleanderspool.RefusalNoBackendServer, http.StatusServiceUnavailable, typeOverloaded},
	{oleanderspool.RefusalDeadlineTooShort, http.StatusServiceUnavailable, typeOverloaded},
	{oleanderspool.RefusalOverloaded, http.StatusServiceUnavailable, typeOverloaded},
	{oleanderspool.RefusalLogUnavailable, http.StatusServiceUnavailable, typeOverloaded},
	{oleanderspool.RefusalClaimedElsewhere, http.StatusConflict, typeConflict},
	{oleanderspool.RefusalKeyReused, http.StatusUnprocessableEntity, typeInvalid},
	{oleanderspool.RefusalCrashesServer, http.StatusUnprocessableEntity, typeInvalid},
	{oleanderspool.RefusalRetryBudget, http.StatusServiceUnavailable, typeOverloaded},
	{oleanderspool.RefusalBackendServerFailed, http.StatusBadGateway, typeServer},
	{oleanderspool.RefusalTimeLimit, http.StatusGatewayTimeout, typeTimeout},
	{oleanderspool.RefusalStopping, http.StatusServiceUnavailable, typeOverloaded},
	{oleanderspool.RefusalCancelled, statusCancelled, typeInvalid},
}

// errorMappingOf returns the mapping of a reason. A reason that is not listed
// maps to a server error with status 500.
func errorMappingOf(reason oleanderspool.RefusalReason) errorMapping {
	for _, m := range errorMappings {
		if m.reason == reason {
			return m
		}
	}
	return errorMapping{reason: reason, status: http.StatusInternalServerError, errorType: typeServer}
}

// StatusOf returns the HTTP status of a refusal reason.
func StatusOf(reason oleanderspool.RefusalReason) int {
	return errorMappingOf(reason).status
}

// RetryAfterSeconds returns a delay in whole seconds, rounded up, as the
// Retry-After header has it.
func RetryAfterSeconds(delay oleanderspool.Millis) int64 {
	return int64((delay + oleanderspool.Second - 1) / oleanderspool.Second)
}

type refusalBody struct {
	Error refusalFields `json:"error"`
}

type refusalFields struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	Reason       string `json:"reason"`
	Execution    string `json:"execution"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func encodeRefusal(refusal *oleanderspool.Refusal) refusalBody {
	return refusalBody{Error: refusalFields{
		Message:      refusal.Message,
		Type:         errorMappingOf(refusal.Reason).errorType,
		Code:         string(refusal.Reason),
		Reason:       string(refusal.Reason),
		Execution:    refusal.Execution.String(),
		RetryAfterMS: int64(refusal.RetryAfter),
	}}
}

// WriteRefusal writes a refusal as a whole response, with its status and, if it
// has a retry delay, the Retry-After header.
func WriteRefusal(w http.ResponseWriter, refusal *oleanderspool.Refusal) error {
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(RetryAfterSeconds(refusal.RetryAfter), 10))
	}
	return writeJSON(w, StatusOf(refusal.Reason), encodeRefusal(refusal))
}

// ParseRefusal returns the refusal in the body of a response, or in the data of
// an event. It returns false if there is none. An unknown execution is read as
// MayHaveRun.
func ParseRefusal(body []byte) (*oleanderspool.Refusal, bool) {
	var b refusalBody
	err := json.Unmarshal(body, &b)
	found := err == nil && b.Error.Reason != ""
	if !found {
		return nil, false
	}
	return &oleanderspool.Refusal{
		Reason:     oleanderspool.RefusalReason(b.Error.Reason),
		Execution:  oleanderspool.ParseExecution(b.Error.Execution),
		RetryAfter: oleanderspool.Millis(b.Error.RetryAfterMS),
		Message:    b.Error.Message,
	}, true
}
