// Package engine is a stand-in for a model engine with continuous batching in
// real time. Tokens have a fixed length in bytes and generated text depends only
// on the prompt and the position.
//
// Its HTTP interface:
//
//	POST /v1/chat/completions  {"model": "model" or "model:adapter", "messages",
//	                           "max_tokens", "stream", "continue_final_message",
//	                           "request_id", "priority", "timeout_ms",
//	                           "group": {"owner", "engines"}}
//	POST /v1/completions       the same with "prompt" instead of "messages"
//	POST /v1/cancel            {"owner"} -> {"freed_tokens"}
//	GET  /v1/report            -> {"size_tokens", "free_tokens", "running",
//	                           "waiting", "models", "adapters", "role", "started"}
//	GET  /v1/entries           -> {"entries": [{"owner", "tokens"}]}
//	POST /v1/reserve           {"owner", "tokens"} -> {}
//	POST /v1/orders            {"kind", "model", "version", "adapter", "role",
//	                           "fencing"} -> {}
//	POST /v1/export            {"owner"} -> KV cache
//	POST /v1/import?owner=     KV cache -> {}
//	GET  /v1/cache_events?after=  -> {"events": [{"sequence", "prefix", "tokens",
//	                           "evicted"}]}
//	POST /control/engine       {"action": "crash", "pause", "resume" or "slow",
//	                           "factor"}
//	GET  /control/requests     -> {"crashes", "requests": [{"request_id", "model",
//	                           "prompt_tokens", "cached_tokens",
//	                           "prefilled_tokens", "generated", "outcome"}]}
//	     /control/faults       see package standin
//
// A refusal is {"error": {"message", "code", "effect"}}.
package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// Defaults of the stand-in.
const (
	// DefaultSizeTokens is the engine's memory, without the prefix cache.
	DefaultSizeTokens = 400000
	// DefaultCacheTokens is the memory of the prefix cache.
	DefaultCacheTokens = 200000
	// DefaultPrefillRate is the prefill speed in tokens per millisecond.
	DefaultPrefillRate = 20.0
	// DefaultTokenTime is the time per generated token in milliseconds.
	DefaultTokenTime = 20.0
	// DefaultChunkTokens is the maximum number of tokens, over all prompts, that
	// one step prefills.
	DefaultChunkTokens = 2048
	// DefaultReportInterval is the interval between load reports, and so the
	// maximum age of a report.
	DefaultReportInterval = oleanderspool.Millis(500)
	// DefaultLoadTime is how long an order takes to carry out.
	DefaultLoadTime = oleanderspool.Second
	// DefaultDowntime is how long the engine is down after a crash.
	DefaultDowntime = 2 * oleanderspool.Second
	// DefaultCrashMarker is the text in a prompt that crashes the engine.
	DefaultCrashMarker = "<<crash the engine>>"
	// DefaultMaxWaiting is the maximum number of requests in the engine's queue.
	DefaultMaxWaiting = 256
	// DefaultEventDelay is the delay before a cache event becomes readable.
	DefaultEventDelay = oleanderspool.Millis(300)
)

// Engine is a stand-in for a model engine. It is an [http.Handler] and safe for
// concurrent use. Call Close to stop it.
type Engine struct {
	standin.Faults

	// Settings, which do not change after New, except slowdown.
	prefillRate         float64 // tokens per millisecond
	tokenTime           float64 // milliseconds
	chunkTokens         int64
	sizeTokens          int64
	cacheTokens         int64
	reportInterval      time.Duration
	loadTime            time.Duration
	downtime            time.Duration
	eventDelay          time.Duration
	dropEvery           int64
	crashMarker         string
	maxWaiting          int
	batchLimit          int // requests in the batch; 0 for no limit
	answerTokens        int
	exportBytesPerToken int64 // of an exported KV cache
	checksFencing       bool
	leaksMemory         bool
	initialModels       []string
	initialAdapters     []string
	onCrash             func()

	handler    http.Handler
	orderMutex sync.Mutex // held while an order is carried out
	closeOnce  sync.Once
	closed     chan struct{}
	stopped    chan struct{}

	mu             sync.Mutex
	workChanged    chan struct{} // closed when there may be new work
	paused         bool
	slowdown       float64
	downUntil      time.Time
	runID          string
	arrivals       int64
	memory         *memory
	cache          *cache
	events         *eventLog
	waiting        []*sequence // in order of service
	running        []*sequence // in order of service
	sequences      map[string]*sequence
	imported       map[string]int64
	models         loadedVersions
	adapters       loadedVersions
	role           string
	highestFencing int64
	report         report
	history        history // survives a crash
	crashes        int
}

// New starts a stand-in engine that runs until Close.
func New(options ...Option) *Engine {
	e := &Engine{
		prefillRate:    DefaultPrefillRate,
		tokenTime:      DefaultTokenTime,
		chunkTokens:    DefaultChunkTokens,
		sizeTokens:     DefaultSizeTokens,
		cacheTokens:    DefaultCacheTokens,
		reportInterval: DefaultReportInterval.Duration(),
		loadTime:       DefaultLoadTime.Duration(),
		downtime:       DefaultDowntime.Duration(),
		eventDelay:     DefaultEventDelay.Duration(),
		crashMarker:    DefaultCrashMarker,
		maxWaiting:     DefaultMaxWaiting,
		slowdown:       1,
		checksFencing:  true,
		onCrash:        func() {},
		closed:         make(chan struct{}),
		stopped:        make(chan struct{}),
		workChanged:    make(chan struct{}),
	}
	for _, o := range options {
		o(e)
	}
	e.reset()
	e.handler = e.Wrap(e.routes())
	go e.run()
	go e.refreshReports()
	return e
}

// ServeHTTP implements [http.Handler].
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.handler.ServeHTTP(w, r)
}

// Close stops the engine and aborts the requests in it.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closed) })
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAll()
}

// Crash closes the connections of all requests without the rest of their responses
// and discards the engine's memory and models. The engine restarts after its downtime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Requests lists the most recent requests that the engine has accepted, oldest
// first. The number of ended requests in it is bounded.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.list()
}

// Pause stops the batch, so that running requests produce no more tokens or
// heartbeats. The engine still answers other calls.
func (e *Engine) Pause() { e.setPaused(true) }

// Resume continues the batch.
func (e *Engine) Resume() { e.setPaused(false) }

func (e *Engine) setPaused(paused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused = paused
	e.signalWork()
}

func (e *Engine) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused
}

// SetSlowdown multiplies the time of each step by factor; 1 is the normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// crash does the work of Crash. The caller holds the lock.
func (e *Engine) crash() {
	e.crashes++
	e.downUntil = time.Now().Add(e.downtime)
	e.abortAll()
	e.reset()
	e.onCrash()
}

// abortAll ends all requests so that their connections are closed without the
// rest of the response. The caller holds the lock.
func (e *Engine) abortAll() {
	for _, q := range e.sequences {
		q.crashed = true
		q.notify()
	}
}

// reset initializes the state that is lost in a crash. The caller holds the lock,
// or is New.
func (e *Engine) reset() {
	e.runID = fmt.Sprintf("%016x", rand.Uint64())
	e.memory = newMemory(e.sizeTokens)
	e.events = &eventLog{delay: e.eventDelay, dropEvery: e.dropEvery}
	e.cache = newCache(e.cacheTokens, e.events.add)
	e.waiting, e.running = nil, nil
	e.sequences = map[string]*sequence{}
	e.imported = map[string]int64{}
	e.models = newLoadedVersions(e.initialModels)
	e.adapters = newLoadedVersions(e.initialAdapters)
	e.highestFencing = 0
	e.report = e.currentReport()
}
