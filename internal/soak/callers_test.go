package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// outcome is a request and what its caller received.
type outcome struct {
	id         string
	route      route
	key        string
	entry      int
	sentAt     time.Time
	endedAt    time.Time
	crowd      bool // sent by [callers.crowd]
	abandoned  bool // the caller cancelled, or ended its sending side, before the answer was complete
	status     int  // 0 if there was no answer
	answeredID string
	header     http.Header
	body       string
	err        error
}

// callers send requests until they are stopped. Each stays with one entry and its
// connection until a request fails or is answered 503.
type callers struct {
	fleet *fleet
	seed  uint64

	mu            sync.Mutex
	outcomes      []outcome
	revokedRounds int // copy of fleet.revokedRounds
}

func (c *callers) setRevokedRounds(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedRounds = n
}

// key returns one of the valid keys, or one that was revoked recently.
func (c *callers) key(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revokedRounds > 0 && rng.IntN(4) == 0 {
		return key(c.revokedRounds - 1 - rng.IntN(min(c.revokedRounds, 4)))
	}
	if rng.IntN(2) == 0 {
		return key(c.revokedRounds)
	}
	return "stays"
}

const (
	// One in halfCloseEvery requests of a caller is followed by the end of its sending
	// side, halfCloseAfter later.
	halfCloseEvery = 16
	halfCloseAfter = 30 * time.Millisecond
)

func (c *callers) run(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(number)))
	var current atomic.Pointer[net.TCPConn]
	transport := &http.Transport{IdleConnTimeout: 10 * time.Second, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if tcp, ok := conn.(*net.TCPConn); ok {
			current.Store(tcp)
		}
		return conn, err
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	entryIndex := rng.IntN(len(c.fleet.entries))
	for i := 0; ctx.Err() == nil; i++ {
		r := routes[rng.IntN(len(routes))]
		if r.promptTokens > 100_000 && rng.IntN(3) > 0 {
			r = routes[2]
		}
		var halfClose *time.Timer
		if i%halfCloseEvery == halfCloseEvery-1 {
			halfClose = time.AfterFunc(halfCloseAfter, func() {
				if conn := current.Load(); conn != nil {
					_ = conn.CloseWrite() // the connection may have ended
				}
			})
		}
		o := c.send(client, entryIndex, r, fmt.Sprintf("r-%d-%d", number, i), c.key(rng), rng.IntN(25) == 0)
		if halfClose != nil && !halfClose.Stop() {
			o.abandoned = true
			transport.CloseIdleConnections()
		}
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		if o.err != nil || o.status == http.StatusServiceUnavailable {
			transport.CloseIdleConnections()
			entryIndex = rng.IntN(len(c.fleet.entries))
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

const (
	// The requests of a crowd exceed the bound of the slow-start limit at each of the
	// application servers.
	crowdSenders  = 30
	crowdRequests = 20
	crowdPause    = 15 * time.Millisecond
)

// crowd sends many requests to the application servers within about a second, through
// all entries.
func (c *callers) crowd(number int) {
	var sending sync.WaitGroup
	for i := range crowdSenders {
		sending.Go(func() {
			defer GinkgoRecover()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for j := range crowdRequests {
				o := c.send(&http.Client{Transport: transport}, (i+j)%len(c.fleet.entries), routes[1], fmt.Sprintf("c-%d-%d-%d", number, i, j), "stays", false)
				o.crowd = true
				c.mu.Lock()
				c.outcomes = append(c.outcomes, o)
				c.mu.Unlock()
				time.Sleep(crowdPause)
			}
		})
	}
	sending.Wait()
}

// maxKept is how many bytes of an answer a caller keeps. It exceeds every complete answer;
// a caller that kept an answer without end would still be reading it long after the entry
// has ended it.
const maxKept = 1 << 20

// send sends one request and reads the whole answer. With abandons set, the caller
// cancels the request after 150 ms.
func (c *callers) send(client *http.Client, entryIndex int, r route, id, key string, abandons bool) outcome {
	limit := time.Duration(r.TimeoutMs)*time.Millisecond + 3*time.Second
	if abandons {
		limit = 150 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.entries[entryIndex].instance.Listen+r.Prefix+"x", nil)
	Expect(err).NotTo(HaveOccurred())
	q.Host = host
	q.Header = platformtest.CallerHeader{ID: id, APIKey: key, PromptTokens: r.promptTokens}.Encode()
	o := outcome{id: id, route: r, key: key, entry: entryIndex, sentAt: time.Now()}
	response, err := client.Do(q)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(response.Body, maxKept))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		_ = response.Body.Close()
		o.status, o.header, o.body = response.StatusCode, response.Header, string(body)
		o.answeredID = platformtest.AnswerRequestID(response.Header)
	}
	o.err, o.endedAt, o.abandoned = err, time.Now(), abandons && ctx.Err() != nil
	return o
}

// complete reports whether the body is the complete answer to the request.
func (o outcome) complete() bool {
	if o.route.events == 0 {
		return o.body == completeAnswer(o.id)
	}
	var want strings.Builder
	for i := range o.route.events {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return o.body == want.String()
}

// overLimit reports whether the request was refused because the slow-start limit left no
// server.
func (o outcome) overLimit() bool {
	return o.status == http.StatusServiceUnavailable && strings.Contains(o.body, "share of requests")
}

// saysNotExecuted reports whether the status says that the request has not run and
// will not run.
func (o outcome) saysNotExecuted() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
