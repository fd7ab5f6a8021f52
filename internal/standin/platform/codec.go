package platform

import "github.com/oleanderspool/oleanderspool"

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendResponse struct {
	First int64 `json:"first"`
}

type recordBody struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type readResponse struct {
	Records []recordBody `json:"records"`
	Head    int64        `json:"head"`
}

func recordBodies(records []oleanderspool.Record) []recordBody {
	bodies := make([]recordBody, 0, len(records))
	for _, r := range records {
		bodies = append(bodies, recordBody{Offset: int64(r.Offset), Data: r.Data})
	}
	return bodies
}

type instanceBody struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Role       string `json:"role"`
	Leaving    bool   `json:"leaving"`
}

type instancesBody struct {
	Instances []instanceBody `json:"instances"`
}

func instanceBodies(list []oleanderspool.InstanceState) []instanceBody {
	bodies := make([]instanceBody, 0, len(list))
	for _, s := range list {
		bodies = append(bodies, instanceBody{
			Instance:   string(s.Instance),
			DataCentre: string(s.DataCentre),
			Address:    s.Address,
			Role:       s.Role,
			Leaving:    s.Leaving,
		})
	}
	return bodies
}

func instanceStates(bodies []instanceBody) []oleanderspool.InstanceState {
	list := make([]oleanderspool.InstanceState, 0, len(bodies))
	for _, b := range bodies {
		list = append(list, oleanderspool.InstanceState{
			Instance:   oleanderspool.InstanceID(b.Instance),
			DataCentre: oleanderspool.DataCentreID(b.DataCentre),
			Address:    b.Address,
			Role:       b.Role,
			Leaving:    b.Leaving,
		})
	}
	return list
}

type weightsRequest struct {
	Artefact string `json:"artefact"`
}

type weightsResponse struct {
	WaitMS int64 `json:"wait_ms"`
}

type retentionBody struct {
	Stream string `json:"stream"`
	Keep   int    `json:"keep"`
}
