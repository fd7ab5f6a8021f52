package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// outcome is a request and what its caller got.
type outcome struct {
	id      string
	route   route
	key     string
	entry   int
	sentAt  time.Time
	endedAt time.Time
	left    bool // the caller left before the end
	status  int  // 0 without an answer
	answer  string
	header  http.Header
	body    string
	err     error
}

// callers send requests until they are stopped. Each keeps to one entry and its
// connection as long as that works.
type callers struct {
	fleet *fleet
	seed  uint64

	mu       sync.Mutex
	outcomes []outcome
	revoked  int // as in the fleet
}

func (c *callers) setRevoked(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = n
}

// key returns one of the keys in force, or one that was taken away lately.
func (c *callers) key(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revoked > 0 && rng.IntN(4) == 0 {
		return key(c.revoked - 1 - rng.IntN(min(c.revoked, 4)))
	}
	if rng.IntN(2) == 0 {
		return key(c.revoked)
	}
	return "stays"
}

func (c *callers) run(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(c.seed, uint64(number)))
	transport := &http.Transport{IdleConnTimeout: 10 * time.Second}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	at := rng.IntN(len(c.fleet.entries))
	for i := 0; ctx.Err() == nil; i++ {
		r := routes[rng.IntN(len(routes))]
		if r.prompt > 100_000 && rng.IntN(3) > 0 {
			r = routes[2]
		}
		o := c.send(client, at, r, fmt.Sprintf("r-%d-%d", number, i), c.key(rng), rng.IntN(25) == 0)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
		if o.err != nil || o.status == http.StatusServiceUnavailable {
			transport.CloseIdleConnections()
			at = rng.IntN(len(c.fleet.entries))
		}
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	}
}

// send sends one request and reads its answer to the end. A caller that leaves
// does so after a moment.
func (c *callers) send(client *http.Client, at int, r route, id, key string, leaves bool) outcome {
	limit := time.Duration(r.TimeoutMs)*time.Millisecond + 3*time.Second
	if leaves {
		limit = 150 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fleet.entries[at].instance.Listen+r.Prefix+"x", nil)
	Expect(err).NotTo(HaveOccurred())
	q.Host = host
	q.Header = platformtest.CallerHeader{ID: id, APIKey: key, PromptTokens: r.prompt}.Encode()
	o := outcome{id: id, route: r, key: key, entry: at, sentAt: time.Now()}
	response, err := client.Do(q)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.status, o.header, o.body = response.StatusCode, response.Header, string(body)
		o.answer = platformtest.AnswerRequestID(response.Header)
	}
	o.err, o.endedAt, o.left = err, time.Now(), leaves && ctx.Err() != nil
	return o
}

// whole reports whether a success holds the whole answer to its request.
func (o outcome) whole() bool {
	if o.route.events == 0 {
		return o.body == wholeAnswer(o.id)
	}
	var want strings.Builder
	for i := range o.route.events {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i+1, i+1)
	}
	return o.body == want.String()
}

// promises reports whether the answer says that the request has not run and will
// not.
func (o outcome) promises() bool {
	switch o.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
