package service

type reserveRequest struct {
	Reference string `json:"reference"`
	Item      string `json:"item"`
	Count     int64  `json:"count"`
}

type reserveResponse struct {
	Reference string `json:"reference"`
	Run       int    `json:"run"`
	Left      int64  `json:"left"`
}

type printRequest struct {
	Reference string `json:"reference"`
	Draft     string `json:"draft"`
	Copies    int64  `json:"copies"`
}

type printResponse struct {
	Reference string `json:"reference"`
	Run       int    `json:"run"`
}

type stockResponse struct {
	Item  string `json:"item"`
	Count int64  `json:"count"`
}

type draftBody struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

type runBody struct {
	Operation string `json:"operation"`
	Reference string `json:"reference"`
	Count     int    `json:"count"`
}

type runsResponse struct {
	Runs []runBody `json:"runs"`
}

func runBodies(runs []Run) []runBody {
	bodies := make([]runBody, 0, len(runs))
	for _, r := range runs {
		bodies = append(bodies, runBody(r))
	}
	return bodies
}
