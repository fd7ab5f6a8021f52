package caller

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	headerRequestTimeout   = "Request-Timeout"
	maxIdempotencyKeyBytes = 256
)

// incoming is a request whose account and headers are valid, before its body is
// parsed.
type incoming struct {
	account configuration.ClientAccount
	config  configuration.Configuration
	body    []byte
	timeout oleanderspool.Millis
	key     oleanderspool.IdempotencyKey
	arrival oleanderspool.Millis
}

// receive authenticates a request, checks its headers and reads its body.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) (incoming, *oleanderspool.Refusal) {
	in := incoming{config: s.gateway.Configuration(), arrival: s.gateway.Now()}
	if !s.gateway.Accepting() {
		return in, notAccepting()
	}
	var known bool
	if in.account, known = authenticate(in.config, r); !known {
		return in, oleanderspool.Refuse(oleanderspool.RefusalUnknownAccount, "the API key is missing or unknown")
	}
	var findings oleanderspool.Findings
	in.timeout = s.requestTimeout(r, &findings)
	in.key = idempotencyKey(r, &findings)
	if err := findings.Err(); err != nil {
		return in, oleanderspool.Refuse(oleanderspool.RefusalBadRequest, errorMessage(err))
	}
	var refusal *oleanderspool.Refusal
	in.body, refusal = s.readBody(w, r)
	if refusal == nil && !s.gateway.Accepting() {
		refusal = notAccepting() // the body took too long
	}
	return in, refusal
}

func notAccepting() *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalStopping, "the entry is starting or stopping").WithRetryAfter(oleanderspool.Second)
}

// authenticate returns the client account that the request's API key belongs to.
func authenticate(c configuration.Configuration, r *http.Request) (configuration.ClientAccount, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return configuration.ClientAccount{}, false
	}
	return c.AccountByKey(key)
}

// requestTimeout returns the timeout that the request states, else the default.
func (s *Server) requestTimeout(r *http.Request, findings *oleanderspool.Findings) oleanderspool.Millis {
	text := r.Header.Get(headerRequestTimeout)
	if text == "" {
		return s.limits.DefaultTimeout
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > s.limits.MaxTimeout.Duration().Seconds() {
		findings.Addf(headerRequestTimeout, "%q is not a number of seconds above 0 and up to %g", text, s.limits.MaxTimeout.Duration().Seconds())
		return 0
	}
	return oleanderspool.MillisOf(time.Duration(seconds * float64(time.Second)))
}

func idempotencyKey(r *http.Request, findings *oleanderspool.Findings) oleanderspool.IdempotencyKey {
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		findings.Addf(headerIdempotencyKey, "longer than %d bytes", maxIdempotencyKeyBytes)
	}
	if len(r.Header.Values(headerIdempotencyKey)) > 1 {
		findings.Addf(headerIdempotencyKey, "given more than once")
	}
	return oleanderspool.IdempotencyKey(key)
}

// readBody reads the body within the limits of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *oleanderspool.Refusal) {
	if r.ContentLength > s.limits.BodyBytes {
		return nil, bodyTooLarge()
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.BodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	} else {
		// The read deadline stays set, because net/http reads the rest of the
		// body before it sends the response and would block if the sender has
		// stalled.
		w.Header().Set("Connection", "close")
	}
	var sizeErr *http.MaxBytesError
	var timeoutErr interface{ Timeout() bool }
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &sizeErr):
		return nil, bodyTooLarge()
	case errors.As(err, &timeoutErr) && timeoutErr.Timeout():
		return nil, oleanderspool.Refuse(oleanderspool.RefusalSlowSender, "the body did not arrive in time")
	default:
		return nil, oleanderspool.Refuse(oleanderspool.RefusalBadRequest, "the body ended early")
	}
}

func bodyTooLarge() *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalBodyTooLarge, "the body is too large")
}

// errorMessage returns the text of an error without the leading type name of the
// package oleanderspool.
func errorMessage(err error) string {
	text := err.Error()
	if _, after, ok := strings.Cut(text, ": "); ok && strings.HasPrefix(text, "oleanderspool.") {
		return after
	}
	return text
}

// fingerprint returns a hash of the account, the target (the model or route) and
// the content of a request.
func fingerprint(account oleanderspool.ClientAccountID, target string, content []byte) oleanderspool.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(string(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(target)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(content)
	return oleanderspool.Fingerprint(h.Sum64())
}
