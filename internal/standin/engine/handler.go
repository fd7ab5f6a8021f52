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

// maxImportBytes is the maximum size of an imported KV cache.
const maxImportBytes = 64 << 20

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
	control.Handle("/", e.requireUp(mux))
	return control
}

// requireUp aborts requests and closes their connections while the engine is down.
func (e *Engine) requireUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.lockIfUp()
		e.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// lockIfUp acquires the lock for a request. If the engine is down, it panics with
// [http.ErrAbortHandler], which closes the connection. Handlers call it again
// after reading the body, as the engine may have crashed in the meantime.
func (e *Engine) lockIfUp() {
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
	e.lockIfUp()
	defer e.mu.Unlock()
	freed := e.memory.allocated[b.Owner]
	for _, q := range e.sequencesOf(b.Owner) {
		e.fail(q, "cancelled")
	}
	delete(e.memory.allocated, b.Owner)
	delete(e.imported, b.Owner)
	e.signalWork()
	standin.WriteJSON(w, http.StatusOK, freedBody{FreedTokens: freed})
}

// sequencesOf returns the sequence of an attempt and all sequences that use the
// owner's memory. The caller holds the lock.
func (e *Engine) sequencesOf(owner string) []*sequence {
	var sequences []*sequence
	for _, q := range e.sequences {
		if q.owner == owner || q.memoryOwner == owner {
			sequences = append(sequences, q)
		}
	}
	return sequences
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := e.report
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, r)
}

// currentReport returns a report of the current state. The caller holds the lock.
func (e *Engine) currentReport() report {
	return report{
		SizeTokens: e.sizeTokens,
		FreeTokens: e.memory.free(),
		Running:    len(e.running),
		Waiting:    len(e.waiting),
		Models:     e.models.names(),
		Adapters:   e.adapters.names(),
		Role:       e.role,
		Started:    e.runID,
	}
}

// refreshReports updates the published report at the report interval, until the
// engine is closed.
func (e *Engine) refreshReports() {
	ticker := time.NewTicker(max(e.reportInterval, time.Millisecond))
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
	entries := e.memory.allocations()
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
	e.lockIfUp()
	granted := e.memory.reserve(b.Owner, b.Tokens)
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
	e.lockIfUp()
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
	// Padding with white space keeps the body valid JSON.
	padding := bytes.Repeat([]byte(" "), 1<<16)
	for left := e.exportBytesPerToken * body.Tokens; left > 0; left -= int64(len(padding)) {
		if _, err := w.Write(padding[:min(left, int64(len(padding)))]); err != nil {
			return
		}
	}
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	owner := r.URL.Query().Get("owner")
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxImportBytes))
	var b exportBody
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil || owner == "" || b.Tokens < 1 {
		refuse(w, http.StatusBadRequest, "bad_request", "owner or KV cache is malformed")
		return
	}
	e.lockIfUp()
	granted := e.memory.reserve(owner, b.Tokens)
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
	// Orders are carried out one at a time, so that an order with a lower fencing
	// number never takes effect after one with a higher number.
	e.orderMutex.Lock()
	defer e.orderMutex.Unlock()
	runID, fenced := e.checkFencing(w, b)
	if fenced {
		return
	}
	if !e.sleep(e.loadTime) {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	restarted := runID != e.runID
	applied := !restarted && e.apply(b)
	e.mu.Unlock()
	if restarted {
		panic(http.ErrAbortHandler)
	}
	if !applied {
		refuse(w, http.StatusBadRequest, "bad_request", "unknown kind of order: "+b.Kind)
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// checkFencing records the fencing number of an order and returns the engine's
// run ID. If the number is below the highest one seen, it refuses the order.
func (e *Engine) checkFencing(w http.ResponseWriter, b orderBody) (runID string, fenced bool) {
	e.lockIfUp()
	defer e.mu.Unlock()
	if e.checksFencing && b.Fencing < e.highestFencing {
		refuse(w, http.StatusConflict, "fenced", "fencing number is below "+strconv.FormatInt(e.highestFencing, 10))
		return "", true
	}
	e.highestFencing = max(e.highestFencing, b.Fencing)
	return e.runID, false
}

// apply carries out an order. It returns false if the kind of order is unknown.
// The caller holds the lock.
func (e *Engine) apply(b orderBody) bool {
	versions, name := e.models, b.Model
	if b.Adapter != "" {
		versions, name = e.adapters, b.Model+":"+b.Adapter
	}
	switch oleanderspool.OrderKind(b.Kind) {
	case oleanderspool.OrderLoad:
		versions.load(name, b.Version)
	case oleanderspool.OrderUnload:
		versions.unload(name, b.Version)
		e.failUnloaded()
	case oleanderspool.OrderChangeRole:
		e.role = b.Role
	default:
		return false
	}
	return true
}

// failUnloaded fails the requests whose model or adapter is no longer loaded. The
// caller holds the lock.
func (e *Engine) failUnloaded() {
	for _, q := range e.sequences {
		if !e.serves(q.model) {
			e.fail(q, "model was unloaded")
		}
	}
}
