package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// maxImport bounds an imported KV cache, in bytes.
const maxImport = 64 << 20

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveGenerate)
	mux.HandleFunc("POST /v1/completions", e.serveGenerate)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("GET /v1/entries", e.serveEntries)
	mux.HandleFunc("POST /v1/reserve", e.serveReserve)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /v1/export", e.serveExport)
	mux.HandleFunc("POST /v1/import", e.serveImport)
	mux.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	control := http.NewServeMux()
	control.HandleFunc("POST /control/engine", e.serveControl)
	control.HandleFunc("GET /control/requests", e.serveRequests)
	control.Handle("/", e.whileUp(mux))
	return control
}

// whileUp closes connections while the engine is down.
func (e *Engine) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.lockUp()
		e.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// lockUp takes the lock for a request. It closes the connection if the engine is
// down, also if it crashed while the request's body arrived.
func (e *Engine) lockUp() {
	e.mu.Lock()
	if time.Now().Before(e.downUntil) {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	standin.WriteError(w, status, standin.Error{Message: message, Code: code, Effect: "none"})
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var b ownerBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	e.lockUp()
	defer e.mu.Unlock()
	freed := e.memory.owned[b.Owner]
	for _, q := range e.usersOf(b.Owner) {
		e.fail(q, "cancelled")
	}
	delete(e.memory.owned, b.Owner)
	delete(e.imported, b.Owner)
	e.wake()
	standin.WriteJSON(w, http.StatusOK, freedBody{FreedTokens: freed})
}

// usersOf returns the sequences that are an attempt or use its memory. The
// caller holds the lock.
func (e *Engine) usersOf(owner string) []*sequence {
	var users []*sequence
	for _, q := range e.sequences {
		if q.owner == owner || q.memory == owner {
			users = append(users, q)
		}
	}
	return users
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := e.report
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, r)
}

// currentReport returns the present state. The caller holds the lock.
func (e *Engine) currentReport() report {
	return report{
		SizeTokens: e.sizeTokens,
		FreeTokens: e.memory.free(),
		Running:    len(e.running),
		Waiting:    len(e.waiting),
		Models:     e.models.names(),
		Adapters:   e.adapters.names(),
		Role:       e.role,
		Started:    e.started,
	}
}

// refreshReports takes a report each lag, which is shown until the next one.
func (e *Engine) refreshReports() {
	ticker := time.NewTicker(max(e.reportLag, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.mu.Lock()
			e.report = e.currentReport()
			e.mu.Unlock()
		case <-e.closed:
			return
		}
	}
}

func (e *Engine) serveEntries(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	entries := e.memory.entries()
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, entryBodies(entries))
}

func (e *Engine) serveReserve(w http.ResponseWriter, r *http.Request) {
	var b ownerBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	if b.Owner == "" || b.Tokens < 1 {
		refuse(w, http.StatusBadRequest, "bad_request", "owner is empty or tokens below 1")
		return
	}
	e.lockUp()
	granted := e.memory.grow(b.Owner, b.Tokens)
	e.mu.Unlock()
	if !granted {
		refuse(w, http.StatusInsufficientStorage, "out_of_memory", "not enough memory")
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var b ownerBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	e.lockUp()
	q, found := e.sequences[b.Owner]
	var body exportBody
	if found {
		body = exportBody{Owner: b.Owner, Model: q.model, Tokens: countTokens(q.prompt) + int64(q.start+q.generated)}
	}
	e.mu.Unlock()
	if !found {
		refuse(w, http.StatusNotFound, "unknown_owner", "no such attempt")
		return
	}
	standin.WriteJSON(w, http.StatusOK, body)
	// White space leaves the description readable.
	padding := bytes.Repeat([]byte(" "), 1<<16)
	for left := e.tokenBytes * body.Tokens; left > 0; left -= int64(len(padding)) {
		if _, err := w.Write(padding[:min(left, int64(len(padding)))]); err != nil {
			return
		}
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	owner := r.URL.Query().Get("owner")
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImport))
	var b exportBody
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil || owner == "" || b.Tokens < 1 {
		refuse(w, http.StatusBadRequest, "bad_request", "owner or KV cache is malformed")
		return
	}
	e.lockUp()
	granted := e.memory.grow(owner, b.Tokens)
	if granted {
		e.imported[owner] = b.Tokens
	}
	e.mu.Unlock()
	if !granted {
		refuse(w, http.StatusInsufficientStorage, "out_of_memory", "not enough memory")
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "after is malformed")
		return
	}
	e.mu.Lock()
	events := e.events.after(after)
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, cacheEventBodies(events))
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var b controlBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	switch b.Action {
	case "crash":
		e.Crash()
	case "pause":
		e.Pause()
	case "resume":
		e.Resume()
	case "slow":
		e.SetSlowdown(b.Factor)
	default:
		refuse(w, http.StatusBadRequest, "bad_request", "unknown action: "+b.Action)
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) serveRequests(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, requestBodies(e.Crashes(), e.Requests()))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	// Orders are carried out one by one, so that one with a lower fencing number
	// never takes effect after one with a higher.
	e.orders.Lock()
	defer e.orders.Unlock()
	run, fenced := e.fences(w, b)
	if fenced {
		return
	}
	if !e.pause(e.loadTime) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	lost := run != e.started
	known := !lost && e.apply(b)
	e.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !known {
		refuse(w, http.StatusBadRequest, "bad_request", "unknown kind of order: "+b.Kind)
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// fences takes the fencing number of an order and returns the run of the engine,
// or refuses a number below the highest one seen.
func (e *Engine) fences(w http.ResponseWriter, b orderBody) (run string, fenced bool) {
	e.lockUp()
	defer e.mu.Unlock()
	if e.fencing && b.Fencing < e.fence {
		refuse(w, http.StatusConflict, "fenced", "fencing number is below "+strconv.FormatInt(e.fence, 10))
		return "", true
	}
	e.fence = max(e.fence, b.Fencing)
	return e.started, false
}

// apply carries out an order. The caller holds the lock.
func (e *Engine) apply(b orderBody) bool {
	set, name := e.models, b.Model
	if b.Adapter != "" {
		set, name = e.adapters, b.Model+":"+b.Adapter
	}
	switch oleanderspool.OrderKind(b.Kind) {
	case oleanderspool.OrderLoad:
		set.load(name, b.Version)
	case oleanderspool.OrderUnload:
		set.unload(name, b.Version)
		e.failUnloaded()
	case oleanderspool.OrderChangeRole:
		e.role = b.Role
	default:
		return false
	}
	return true
}

// failUnloaded gives up the requests whose model or adapter is gone. The caller
// holds the lock.
func (e *Engine) failUnloaded() {
	for _, q := range e.sequences {
		if !e.serves(q.model) {
			e.fail(q, "model was unloaded")
		}
	}
}
