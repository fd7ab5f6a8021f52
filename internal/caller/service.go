package caller

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/oleanderspool/oleanderspool"
)

// service handles a call of a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	in, refusal := s.receive(w, r)
	if refusal != nil {
		s.refuse(w, refusal)
		return
	}
	id := oleanderspool.RouteID(mux.Vars(r)["route"])
	route, ok := in.config.ServiceRoute(id)
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
		Account:     in.account.ID,
		Kind:        oleanderspool.KindService,
		Route:       id,
		Method:      r.Method,
		Path:        path,
		Idempotent:  route.Idempotent,
		Key:         in.key,
		Priority:    in.config.Level(in.account.ID),
		Body:        in.body,
		Deadline:    in.arrival + in.timeout,
		Fingerprint: fingerprint(in.account.ID, string(id)+" "+r.Method+" "+path, in.body),
	})
}

// callService runs the request and responds with the plain service's response.
func (s *Server) callService(w http.ResponseWriter, r *http.Request, request oleanderspool.Request) {
	var last oleanderspool.Piece
	var body []byte
	refusal := s.gateway.Serve(r.Context(), request, func(p oleanderspool.Piece) error {
		last = p
		body = append(body, p.Text...)
		return nil
	})
	if refusal != nil {
		s.writeRefusal(w, refusal)
		return
	}
	if last.Type != "" {
		w.Header().Set("Content-Type", last.Type)
	}
	status := last.Status
	if status < http.StatusOK {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
