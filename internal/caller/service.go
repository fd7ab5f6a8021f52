package caller

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/oleanderspool/oleanderspool"
)

// service serves a call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, refusal := s.receive(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	id := oleanderspool.RouteID(mux.Vars(r)["route"])
	route, ok := c.config.ServiceRoute(id)
	if !ok {
		s.refuse(w, oleanderspool.Refuse(oleanderspool.RefusalUnknownRoute, "unknown route "+string(id)))
		return
	}
	path := "/" + string(id)
	if rest := mux.Vars(r)["path"]; rest != "" {
		path += "/" + rest
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.callService(w, r, oleanderspool.Request{
		ID:          s.gateway.NewRequestID(),
		Account:     c.account.ID,
		Kind:        oleanderspool.KindService,
		Route:       id,
		Method:      r.Method,
		Path:        path,
		Idempotent:  route.Idempotent,
		Key:         c.key,
		Priority:    c.config.Level(c.account.ID),
		Body:        c.body,
		Deadline:    c.arrived + c.timeout,
		Fingerprint: fingerprint(c.account.ID, string(id)+" "+r.Method+" "+path, c.body),
	})
}

// callService answers with the answer of the plain service.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, request oleanderspool.Request) {
	var answer oleanderspool.Piece
	var body []byte
	refusal := s.gateway.Serve(r.Context(), request, func(p oleanderspool.Piece) error {
		answer = p
		body = append(body, p.Text...)
		return nil
	})
	if refusal != nil {
		s.write(w, refusal)
		return
	}
	if answer.Type != "" {
		w.Header().Set("Content-Type", answer.Type)
	}
	status := answer.Status
	if status < http.StatusOK {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
