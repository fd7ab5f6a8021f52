// Package service is a stand-in for the plain services of both users. Peg
// reservations and print orders are not idempotent; stock counts and saved drafts
// are.
//
// Its HTTP interface:
//
//	POST /pegs/reserve   {"reference", "item", "count"} -> {"reference", "run", "left"}
//	POST /orders/print   {"reference", "draft", "copies"} -> {"reference", "run"}
//	GET  /stock/{item}   -> {"item", "count"}
//	GET  /drafts/{name}  -> {"name", "text"}
//	PUT  /drafts/{name}  {"text"} -> {"name", "text"}
//	GET  /control/runs   -> {"runs": [{"operation", "reference", "count"}]}
//	DELETE /control/runs clears the runs
//	     /control/faults see package standin
//
// "run" is the number of runs of the operation with the same reference, so that a
// second run is reported as 2.
package service

import (
	"net/http"

	"github.com/oleanderspool/oleanderspool/internal/standin"
)

// Operations of the service that are not idempotent.
const (
	OperationReserve = "pegs/reserve"
	OperationPrint   = "orders/print"
)

// DefaultStock is the initial count of each item.
const DefaultStock = 10000

// Service is the stand-in. It is an [http.Handler] and safe for concurrent use.
type Service struct {
	standin.Faults

	handler http.Handler
	ledger  *ledger
}

// Option configures a [Service].
type Option func(*Service)

// WithStock sets the initial count of an item.
func WithStock(item string, count int64) Option {
	return func(s *Service) { s.ledger.stock[item] = count }
}

// WithDraft sets the initial text of a draft.
func WithDraft(name, text string) Option {
	return func(s *Service) { s.ledger.drafts[name] = text }
}

// WithFault sets a fault that is active from the start.
func WithFault(fault standin.Fault) Option {
	return func(s *Service) { s.AddFault(fault) }
}

// New returns a stand-in without runs.
func New(options ...Option) *Service {
	s := &Service{ledger: newLedger()}
	for _, o := range options {
		o(s)
	}
	s.handler = s.Wrap(s.routes())
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

// Runs returns the number of runs of each operation and reference, in the order of
// their first runs.
func (s *Service) Runs() []Run {
	return s.ledger.listRuns()
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pegs/reserve", s.serveReserve)
	mux.HandleFunc("POST /orders/print", s.servePrint)
	mux.HandleFunc("GET /stock/{item}", s.serveStock)
	mux.HandleFunc("GET /drafts/{name}", s.serveDraft)
	mux.HandleFunc("PUT /drafts/{name}", s.serveSaveDraft)
	mux.HandleFunc("GET /control/runs", s.serveRuns)
	mux.HandleFunc("DELETE /control/runs", s.serveClearRuns)
	return mux
}

func (s *Service) serveReserve(w http.ResponseWriter, r *http.Request) {
	var b reserveRequest
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	if b.Reference == "" || b.Count < 1 {
		badRequest(w, "reference is empty or count below 1")
		return
	}
	left, enough := s.ledger.takeStock(b.Item, b.Count)
	if !enough {
		standin.WriteError(w, http.StatusConflict, standin.Error{Message: "not enough in stock", Code: "out_of_stock", Effect: "none"})
		return
	}
	run := s.ledger.recordRun(OperationReserve, b.Reference)
	standin.WriteJSON(w, http.StatusOK, reserveResponse{Reference: b.Reference, Run: run, Left: left})
}

func (s *Service) servePrint(w http.ResponseWriter, r *http.Request) {
	var b printRequest
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	if b.Reference == "" {
		badRequest(w, "reference is empty")
		return
	}
	run := s.ledger.recordRun(OperationPrint, b.Reference)
	standin.WriteJSON(w, http.StatusOK, printResponse{Reference: b.Reference, Run: run})
}

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	standin.WriteJSON(w, http.StatusOK, stockResponse{Item: item, Count: s.ledger.stockOf(item)})
}

func (s *Service) serveDraft(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	text, found := s.ledger.draft(name)
	if !found {
		standin.WriteError(w, http.StatusNotFound, standin.Error{Message: "no such draft", Code: "not_found", Effect: "none"})
		return
	}
	standin.WriteJSON(w, http.StatusOK, draftBody{Name: name, Text: text})
}

func (s *Service) serveSaveDraft(w http.ResponseWriter, r *http.Request) {
	var b draftBody
	if !standin.ReadJSON(w, r, &b) {
		return
	}
	b.Name = r.PathValue("name")
	s.ledger.saveDraft(b.Name, b.Text)
	standin.WriteJSON(w, http.StatusOK, b)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, runsResponse{Runs: runBodies(s.Runs())})
}

func (s *Service) serveClearRuns(w http.ResponseWriter, _ *http.Request) {
	s.ledger.clearRuns()
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

func badRequest(w http.ResponseWriter, message string) {
	standin.WriteError(w, http.StatusBadRequest, standin.Error{Message: message, Code: "bad_request", Effect: "none"})
}
