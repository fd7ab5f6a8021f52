// Package platform is a stand-in for the platform: an append-only log with
// streams, a lagging list of instances and a rate-limited weight store.
//
// Its HTTP interface:
//
//	POST /log/{stream}      {"records": [base64]} -> {"first": offset}
//	GET  /log/{stream}?from=&limit=&wait_ms=
//	                        -> {"records": [{"offset", "data"}], "head"}
//	GET  /instances         -> {"instances": [{"instance", "data_centre",
//	                           "address", "role", "leaving"}]}
//	POST /weights           {"artefact"} -> {"wait_ms"}
//	PUT  /control/instances {"instances": [...]}
//	POST /control/retention {"stream", "keep"}
//	     /control/faults    see package standin
//
// An error response is {"error": {"message", "code", "effect"}}; effect "none" states that the
// request had no effect and will have none.
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// Defaults and limits of the stand-in.
const (
	// DefaultAppendRate is the limit of appends per second over all streams.
	DefaultAppendRate = 300
	// DefaultRetention is the retention time of records.
	DefaultRetention = oleanderspool.Hour
	// DefaultInstanceLag is the delay until a change of the instance list is
	// published.
	DefaultInstanceLag = 2 * oleanderspool.Second
	// DefaultWeightRate is the limit of loads from the weight store per second.
	DefaultWeightRate = 2

	maxReadBytes   = 4 << 20
	maxReadRecords = 10000
	maxAppendBytes = 32 << 20
	maxReadWait    = time.Minute
)

// Platform is the stand-in. It is an [http.Handler] and safe for concurrent
// use.
type Platform struct {
	standin.Faults

	handler       http.Handler
	log           *log
	instances     *instances
	appendRate    float64
	appendLimiter *rate.Limiter
	weightRate    float64
	weightMu      sync.Mutex
	weightLimiter *rate.Limiter
	retention     oleanderspool.Millis
	lag           oleanderspool.Millis
}

// Option configures a [Platform].
type Option func(*Platform)

// WithAppendRate sets the limit of appends per second over all streams.
func WithAppendRate(perSecond float64) Option {
	return func(p *Platform) { p.appendRate = perSecond }
}

// WithRetention sets the retention time of records.
func WithRetention(retention oleanderspool.Millis) Option {
	return func(p *Platform) { p.retention = retention }
}

// WithInstanceLag sets the delay until a change of the instance list is published.
func WithInstanceLag(lag oleanderspool.Millis) Option {
	return func(p *Platform) { p.lag = lag }
}

// WithWeightRate sets the limit of loads from the weight store per second.
func WithWeightRate(perSecond float64) Option {
	return func(p *Platform) { p.weightRate = perSecond }
}

// WithFault sets a fault that is active from the start.
func WithFault(fault standin.Fault) Option {
	return func(p *Platform) { p.AddFault(fault) }
}

// New returns a stand-in with an empty log and an empty instance list.
func New(options ...Option) *Platform {
	p := &Platform{
		appendRate: DefaultAppendRate,
		weightRate: DefaultWeightRate,
		retention:  DefaultRetention,
		lag:        DefaultInstanceLag,
	}
	for _, o := range options {
		o(p)
	}
	p.log = newLog(p.retention.Duration())
	p.instances = &instances{lag: p.lag.Duration()}
	p.appendLimiter = rate.NewLimiter(rate.Limit(p.appendRate), int(max(1, p.appendRate/4)))
	p.weightLimiter = rate.NewLimiter(rate.Limit(p.weightRate), 1)
	p.handler = p.Wrap(p.routes())
	return p
}

// ServeHTTP implements [http.Handler].
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// SetInstances changes the instance list. The change is published after the lag.
func (p *Platform) SetInstances(list []oleanderspool.InstanceState) {
	p.instances.setList(list)
}

// Records returns the retained records of a stream.
func (p *Platform) Records(stream oleanderspool.Stream) []oleanderspool.Record {
	records, _, _ := p.log.readRetained(string(stream), 1, maxReadRecords)
	return records
}

// DropRecords removes all but the last keep records of a stream, as if their retention
// time had passed.
func (p *Platform) DropRecords(stream oleanderspool.Stream, keep int) {
	p.log.drop(string(stream), keep)
}

func (p *Platform) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.serveAppend)
	mux.HandleFunc("GET /log/{stream}", p.serveRead)
	mux.HandleFunc("GET /instances", p.serveInstances)
	mux.HandleFunc("POST /weights", p.serveWeights)
	mux.HandleFunc("PUT /control/instances", p.serveSetInstances)
	mux.HandleFunc("POST /control/retention", p.serveRetention)
	return mux
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	var b appendRequest
	r.Body = http.MaxBytesReader(w, r.Body, maxAppendBytes)
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	if len(b.Records) == 0 {
		standin.WriteError(w, http.StatusBadRequest, standin.Error{Message: "no records", Code: "bad_request", Effect: "none"})
		return
	}
	if !p.appendLimiter.Allow() {
		standin.WriteError(w, http.StatusTooManyRequests, standin.Error{Message: "too many appends", Code: "rate_limit", Effect: "none"})
		return
	}
	first := p.log.append(r.PathValue("stream"), b.Records)
	standin.WriteJSON(w, http.StatusOK, appendResponse{First: int64(first)})
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err1 := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(query.Get("limit"))
	waitMS, err3 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || limit < 1 || waitMS < 0 {
		standin.WriteError(w, http.StatusBadRequest, standin.Error{Message: "from, limit or wait_ms is malformed", Code: "bad_request"})
		return
	}
	wait := min(oleanderspool.Millis(waitMS).Duration(), maxReadWait)
	records, head := p.log.read(r.Context(), r.PathValue("stream"), oleanderspool.Offset(from), min(limit, maxReadRecords), wait)
	standin.WriteJSON(w, http.StatusOK, readResponse{Records: recordBodies(records), Head: int64(head)})
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, instancesBody{Instances: instanceBodies(p.instances.publishedList())})
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	var b weightsRequest
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	standin.WriteJSON(w, http.StatusOK, weightsResponse{WaitMS: int64(p.reserveLoad())})
}

// reserveLoad returns 0 and takes a token of the rate limiter, or returns the delay
// until the next token and takes none.
func (p *Platform) reserveLoad() oleanderspool.Millis {
	p.weightMu.Lock()
	defer p.weightMu.Unlock()
	reservation := p.weightLimiter.Reserve()
	delay := reservation.Delay()
	if delay > 0 {
		reservation.Cancel()
	}
	return oleanderspool.MillisOf(delay)
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var b instancesBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	p.SetInstances(instanceStates(b.Instances))
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveRetention(w http.ResponseWriter, r *http.Request) {
	var b retentionBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	p.DropRecords(oleanderspool.Stream(b.Stream), b.Keep)
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}
