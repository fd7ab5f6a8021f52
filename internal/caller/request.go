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
	headerKey     = "Idempotency-Key"
	headerTimeout = "Request-Timeout"
	maxKeyBytes   = 256
)

// common is what all requests carry.
type common struct {
	account configuration.ClientAccount
	config  configuration.Configuration
	body    []byte
	timeout oleanderspool.Millis
	key     oleanderspool.IdempotencyKey
	arrived oleanderspool.Millis
}

// receive checks the account and the headers and reads the body.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) (common, *oleanderspool.Refusal) {
	c := common{config: s.gateway.Configuration(), arrived: s.gateway.Now()}
	if !s.gateway.Accepting() {
		return c, oleanderspool.Refuse(oleanderspool.RefusalStopping, "the entry is starting or stopping").
			WithRetryAfter(oleanderspool.Second)
	}
	var known bool
	if c.account, known = account(c.config, r); !known {
		return c, oleanderspool.Refuse(oleanderspool.RefusalUnknownAccount, "the API key is missing or unknown")
	}
	var findings oleanderspool.Findings
	c.timeout = s.timeout(r, &findings)
	c.key = idempotencyKey(r, &findings)
	if err := findings.Err(); err != nil {
		return c, oleanderspool.Refuse(oleanderspool.RefusalBadRequest, message(err))
	}
	var refusal *oleanderspool.Refusal
	c.body, refusal = s.readBody(w, r)
	return c, refusal
}

// account returns the client account of the request's API key.
func account(c configuration.Configuration, r *http.Request) (configuration.ClientAccount, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return configuration.ClientAccount{}, false
	}
	return c.AccountByKey(key)
}

// timeout returns the request's time limit.
func (s *Server) timeout(r *http.Request, findings *oleanderspool.Findings) oleanderspool.Millis {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return s.limits.DefaultTimeout
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0) || seconds > s.limits.MaxTimeout.Duration().Seconds() {
		findings.Addf(headerTimeout, "%q is not a number of seconds above 0 and up to %g", text, s.limits.MaxTimeout.Duration().Seconds())
		return 0
	}
	return oleanderspool.MillisOf(time.Duration(seconds * float64(time.Second)))
}

func idempotencyKey(r *http.Request, findings *oleanderspool.Findings) oleanderspool.IdempotencyKey {
	key := r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		findings.Addf(headerKey, "longer than %d bytes", maxKeyBytes)
	}
	if len(r.Header.Values(headerKey)) > 1 {
		findings.Addf(headerKey, "given more than once")
	}
	return oleanderspool.IdempotencyKey(key)
}

// readBody reads the body within its bounds of size and time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *oleanderspool.Refusal) {
	if r.ContentLength > s.limits.BodyBytes {
		return nil, tooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.BodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	} else {
		// The deadline stays, because net/http reads the rest of the body
		// before it sends the answer and would wait for a silent sender.
		w.Header().Set("Connection", "close")
	}
	var size *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &size):
		return nil, tooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, oleanderspool.Refuse(oleanderspool.RefusalSlowSender, "the body did not arrive in time")
	default:
		return nil, oleanderspool.Refuse(oleanderspool.RefusalBadRequest, "the body ended early")
	}
}

func tooLarge() *oleanderspool.Refusal {
	return oleanderspool.Refuse(oleanderspool.RefusalBodyTooLarge, "the body is too large")
}

// message returns the findings of an error without its type.
func message(err error) string {
	text := err.Error()
	if _, after, ok := strings.Cut(text, ": "); ok && strings.HasPrefix(text, "oleanderspool.") {
		return after
	}
	return text
}

// fingerprint identifies requests with equal account, target and content.
func fingerprint(account oleanderspool.ClientAccountID, target string, content []byte) oleanderspool.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(string(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(target)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(content)
	return oleanderspool.Fingerprint(h.Sum64())
}
