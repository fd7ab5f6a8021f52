package forward

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/buffer"
	"github.com/oleanderspool/oleanderspool/internal/clientconn"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

const (
	// keyAgeMargin is subtracted from the configured limit of a key's age, for
	// clocks that run at different rates: 6% of the usual limit of 5 s. The
	// network latency of the caller's request needs no margin, since the
	// request was sent before it is checked.
	keyAgeMargin = 300 * oleanderspool.Millis(1)
	// maxDenyAge is the age of the configuration's last confirmation above
	// which the caller of an unknown route or key is asked to retry: the route
	// or key may have been added since.
	maxDenyAge = 3000 * oleanderspool.Millis(1)
	// maxTimeout bounds every request, also one whose caller or route sets a
	// longer timeout or none.
	maxTimeout = 2 * oleanderspool.Minute
	// meanRetryAfter is the mean delay after which a caller should resend a
	// request that could not be served for the moment.
	meanRetryAfter = 400 * oleanderspool.Millis(1)
	// otherEntryRetryAfter is the mean delay after which a caller should resend a request
	// that this entry cannot serve but another one can. The resent request reaches an
	// entry that the load balancer chooses anew, and may still be answered in time.
	otherEntryRetryAfter = 30 * oleanderspool.Millis(1)
	// startupWait is the time after the start during which requests wait for
	// the first configuration. Reading a large one over a slow link takes some
	// 300 ms, and a caller that is refused meanwhile would come back later
	// than that.
	startupWait = 600 * oleanderspool.Millis(1)
)

// admit checks a request and reads its body. The transaction is never nil.
func (g *Gateway) admit(w *callerAnswer, r *http.Request) (*transaction, *oleanderspool.Refusal) {
	t := &transaction{
		gateway: g, request: r, call: g.format.DecodeCallHeader(r.Header),
		receivedAt: g.clock.Now(), body: buffer.New(g.buffers),
	}
	conn := clientconn.FromContext(r.Context())
	if conn != nil && !conn.StartRequest(r) {
		return t, g.otherEntryRefusal(oleanderspool.RefusalOverloaded, "the entry has no memory for the header")
	}
	g.awaitConfiguration(r.Context())
	t.snapshot = g.view.Snapshot()
	t.confirmationAge = g.view.ConfirmationAge(t.receivedAt)
	if g.refusesNew() {
		return t, g.stoppingRefusal()
	}
	c := t.snapshot.Configuration
	if c == nil {
		return t, g.unavailableRefusal(oleanderspool.RefusalNoBackendServer, "no configuration is known yet")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, found := c.Route(r.Host, path)
	if !found {
		return t, t.denyRefusal(oleanderspool.RefusalUnknownRoute, "no route has this host and path")
	}
	t.route = route
	if refusal := t.authenticate(c); refusal != nil {
		return t, refusal
	}
	t.setDeadline(route)
	if limit := c.Limits.HeaderBytes; limit > 0 && headerSize(r) > limit {
		return t, oleanderspool.Refuse(oleanderspool.RefusalHeaderTooLarge, "the header is too large")
	}
	if refusal := t.readBody(w, c.Limits.BodyBytes); refusal != nil {
		return t, refusal
	}
	t.chooseService(c)
	switch g.shared.judge(t.subject) {
	case quarantine.CrashingRequest:
		return t, oleanderspool.Refuse(oleanderspool.RefusalCrashesServer, "the request crashed several backend servers").WithRetryAfter(blockDuration)
	case quarantine.CrashingPart:
		return t, oleanderspool.Refuse(oleanderspool.RefusalCrashesServer, "a part of the prompt crashed several backend servers").WithRetryAfter(blockDuration)
	}
	if t.remaining() <= 0 {
		return t, t.timeLimitRefusal()
	}
	g.shared.recordAdmission(t.service.Name)
	return t, nil
}

// awaitConfiguration waits until the configuration and the servers are known,
// but no longer than startupWait after the start.
func (g *Gateway) awaitConfiguration(ctx context.Context) {
	select {
	case <-g.view.Ready():
		return
	default:
	}
	left := g.startedAt + startupWait - g.clock.Now()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left.Duration())
	defer timer.Stop()
	select {
	case <-g.view.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// denyRefusal returns the refusal of a request that the configuration does not
// allow. While the configuration is not confirmed, it asks the caller to retry
// instead.
func (t *transaction) denyRefusal(reason oleanderspool.RefusalReason, message string) *oleanderspool.Refusal {
	if t.confirmationAge > maxDenyAge {
		return t.gateway.unavailableRefusal(oleanderspool.RefusalLogUnavailable, "the configuration is not confirmed")
	}
	return oleanderspool.Refuse(reason, message)
}

func (t *transaction) authenticate(c *directory.Configuration) *oleanderspool.Refusal {
	account, known := c.Account(t.call.APIKey)
	if known {
		t.account = account
	}
	if !c.RequiresKeys() || t.route.Public {
		return nil
	}
	if !known {
		return t.denyRefusal(oleanderspool.RefusalUnknownAccount, "the key is unknown")
	}
	if t.gateway.keysExpired(t.confirmationAge) {
		return t.gateway.otherEntryRefusal(oleanderspool.RefusalLogUnavailable, "the key cannot be confirmed")
	}
	return nil
}

// setDeadline sets the deadline from the timeouts of the caller and the route.
func (t *transaction) setDeadline(route directory.Route) {
	timeout := maxTimeout
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	if t.call.Deadline > 0 {
		timeout = min(timeout, t.call.Deadline)
	}
	t.deadline = t.receivedAt + timeout
}

// headerSize returns the size of a request's header in bytes, without the request
// line.
func headerSize(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// defaultMaxBody bounds a request's body in bytes when the configuration does not.
const defaultMaxBody = 4 << 20

// readBody reads the body before the deadline of the request, so that a caller
// that sends a byte now and then does not hold its connection and memory longer.
func (t *transaction) readBody(w *callerAnswer, limit int64) *oleanderspool.Refusal {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if t.request.ContentLength > limit {
		return oleanderspool.Refuse(oleanderspool.RefusalBodyTooLarge, "the body is too large")
	}
	conn := clientconn.FromContext(t.request.Context())
	if conn != nil {
		conn.StartBody(t.request.ContentLength)
	}
	controller := http.NewResponseController(w)
	t.setReadDeadline(controller, time.Now().Add(t.remaining().Duration()))
	defer context.AfterFunc(t.gateway.ended, func() { t.setReadDeadline(controller, time.Now()) })()
	t.upload = t.gateway.bodies.start(t.request.Context(), func() { t.setReadDeadline(controller, time.Now()) })
	t.body = t.upload.newBuffer(t.request.ContentLength, limit)
	_, err := t.body.ReadUpTo(t.upload.reader(http.MaxBytesReader(nil, t.request.Body, limit)), math.MaxInt)
	refused := t.upload.finish()
	if err != nil || refused {
		defer t.body.Discard()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case refused && t.gateway.ended.Err() == nil:
		return oleanderspool.Refuse(oleanderspool.RefusalSlowSender, "the body arrived too slowly while the entry has no memory").WithRetryAfter(jitter(meanRetryAfter))
	case errorx.IsOfType(err, buffer.ErrExhausted):
		t.gateway.tally.Record(kindBodyMemory)
		return t.gateway.otherEntryRefusal(oleanderspool.RefusalOverloaded, "the entry has no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded) && t.gateway.ended.Err() != nil:
		return t.gateway.stoppingRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		const message = "body did not arrive in time"
		if t.gateway.lines.Allow(message) {
			t.gateway.logger.Warn(message, "request_id", t.call.ID, "bytes", t.body.Len(), "age_ms", int64(t.gateway.clock.Now()-t.receivedAt))
		}
		return oleanderspool.Refuse(oleanderspool.RefusalTimeLimit, "the body did not arrive in time")
	case errors.As(err, &tooLarge):
		return oleanderspool.Refuse(oleanderspool.RefusalBodyTooLarge, "the body is too large")
	case err != nil:
		return oleanderspool.Refuse(oleanderspool.RefusalBadRequest, "the body is incomplete")
	}
	t.setReadDeadline(controller, time.Time{})
	t.received = true
	if conn != nil {
		conn.Run()
	}
	h := xxhash.New()
	for _, part := range []string{t.account.Name, "\x00", t.request.Method, "\x00", t.request.RequestURI, "\x00"} {
		_, _ = h.WriteString(part) // hashing does not fail
	}
	_, _ = h.Write(t.body.Bytes())
	t.subject = quarantine.Subject{Request: oleanderspool.Fingerprint(h.Sum64())}
	for _, p := range t.call.SharedParts {
		t.subject.Parts = append(t.subject.Parts, partFingerprint(p))
	}
	return nil
}

// setReadDeadline sets the time until which the body may arrive; zero for any.
func (t *transaction) setReadDeadline(controller *http.ResponseController, until time.Time) {
	if err := controller.SetReadDeadline(until); err != nil {
		t.gateway.logger.Debug("cannot set the time limit for the body", "request_id", t.call.ID, "error", err.Error())
	}
}

// chooseService draws a service of the route by weight.
func (t *transaction) chooseService(c *directory.Configuration) {
	sum := 0.0
	for _, s := range t.route.Services {
		sum += max(0, s.Weight)
	}
	name := t.route.Services[0].Service
	draw := rand.Float64() * sum
	for _, s := range t.route.Services {
		if draw -= max(0, s.Weight); draw < 0 {
			name = s.Service
			break
		}
	}
	service, found := c.Service(name)
	if !found {
		service = directory.Service{Name: name}
	}
	t.service = service
}

// unavailableRefusal returns the refusal of a request that has not run and may
// be resent soon.
func (g *Gateway) unavailableRefusal(reason oleanderspool.RefusalReason, message string) *oleanderspool.Refusal {
	return oleanderspool.Refuse(reason, message).WithRetryAfter(jitter(meanRetryAfter))
}

// otherEntryRefusal returns the refusal of a request that has not run and that another
// entry can serve at once.
func (g *Gateway) otherEntryRefusal(reason oleanderspool.RefusalReason, message string) *oleanderspool.Refusal {
	return oleanderspool.Refuse(reason, message).WithRetryAfter(jitter(otherEntryRetryAfter))
}

// stoppingRefusal returns the refusal of a request that has not run and comes too late
// in a planned stop.
func (g *Gateway) stoppingRefusal() *oleanderspool.Refusal {
	return g.otherEntryRefusal(oleanderspool.RefusalStopping, "the entry stops")
}

// jitter returns a random duration between half and one and a half times the
// mean, so that callers that were refused together do not retry together.
func jitter(mean oleanderspool.Millis) oleanderspool.Millis {
	return mean/2 + rand.N(mean+1)
}
