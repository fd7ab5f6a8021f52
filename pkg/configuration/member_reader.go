package configuration

import (
	"math"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// memberReader reads the members of one JSON object by key, and reports members
// that are missing, unknown, repeated or of a wrong type.
type memberReader struct {
	file     string
	path     string // path of the object in findings
	line     int    // line of the object
	members  []member
	used     []bool
	invalid  map[string]bool // keys whose value has a wrong type
	findings *oleanderspool.Findings
}

// newMemberReader returns a reader of the members of n. When n is not an object,
// it adds a finding and the reader has no members.
func newMemberReader(file, path string, n node, findings *oleanderspool.Findings) *memberReader {
	r := &memberReader{file: file, path: path, line: n.line, findings: findings}
	if n.kind != nodeObject {
		r.addFinding(n.line, "", "expected an object, found "+withArticle(n.kind))
		return r
	}
	r.members = n.members
	r.used = make([]bool, len(n.members))
	return r
}

func (r *memberReader) addFinding(line int, key, message string) {
	path := r.path
	if path != "" && key != "" {
		path += "."
	}
	r.findings.Add(oleanderspool.Finding{File: r.file, Line: line, Key: path + key, Message: message})
}

// addInvalid adds a finding about the value of a key and marks the key as
// invalid.
func (r *memberReader) addInvalid(line int, key, message string) {
	if r.invalid == nil {
		r.invalid = map[string]bool{}
	}
	r.invalid[key] = true
	r.addFinding(line, key, message)
}

// withArticle returns the name of a kind with its indefinite article.
func withArticle(kind nodeKind) string {
	switch kind {
	case nodeObject, nodeArray:
		return "an " + string(kind)
	case nodeNull:
		return string(kind)
	default:
		return "a " + string(kind)
	}
}

// find returns the first member with the given key and reports repeated ones.
func (r *memberReader) find(key string) (member, bool) {
	var result member
	found := false
	for i, m := range r.members {
		if m.key != key {
			continue
		}
		if r.used[i] {
			return m, true
		}
		r.used[i] = true
		if found {
			r.addFinding(m.line, key, "key is given twice")
			continue
		}
		result, found = m, true
	}
	return result, found
}

// require returns the value of a required member if it has the given kind, and
// reports a missing member or another kind.
func (r *memberReader) require(key string, kind nodeKind) (node, bool) {
	m, found := r.find(key)
	if !found {
		if r.used != nil {
			r.addFinding(r.line, key, "key is missing")
		}
		return node{}, false
	}
	if m.value.kind != kind {
		r.addInvalid(m.line, key, "expected "+withArticle(kind)+", found "+withArticle(m.value.kind))
		return node{}, false
	}
	return m.value, true
}

func (r *memberReader) text(key string) string {
	n, _ := r.require(key, nodeString)
	return n.text
}

func (r *memberReader) boolean(key string) bool {
	n, _ := r.require(key, nodeBool)
	return n.boolean
}

func (r *memberReader) integer(key string) int64 {
	n, found := r.require(key, nodeNumber)
	if !found {
		return 0
	}
	value, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil {
		r.addInvalid(n.line, key, n.text+" is not an integer of 64 bits")
	}
	return value
}

func (r *memberReader) float(key string) float64 {
	n, found := r.require(key, nodeNumber)
	if !found {
		return 0
	}
	value, err := strconv.ParseFloat(n.text, 64)
	if err != nil || math.IsInf(value, 0) {
		r.addInvalid(n.line, key, n.text+" is not a number of 64 bits")
		return 0
	}
	return value
}

// revision reads the optional revision of an object.
func (r *memberReader) revision() oleanderspool.Revision {
	if _, found := r.find("revision"); !found {
		return 0
	}
	value := r.integer("revision")
	if value < 0 {
		r.addFinding(r.line, "revision", "is negative")
	}
	return oleanderspool.Revision(value)
}

func (r *memberReader) texts(key string) []string {
	n, found := r.require(key, nodeArray)
	if !found {
		return nil
	}
	values := make([]string, 0, len(n.elements))
	for _, e := range n.elements {
		if e.kind != nodeString {
			r.addInvalid(e.line, key, "expected a string, found "+withArticle(e.kind))
			continue
		}
		values = append(values, e.text)
	}
	return values
}

// reportUnknown reports the members that were not read.
func (r *memberReader) reportUnknown() {
	for i, m := range r.members {
		if !r.used[i] {
			r.addFinding(m.line, m.key, "unknown key")
		}
	}
}

func readModel(r *memberReader) Model {
	return Model{
		ID:              oleanderspool.ModelID(r.text("id")),
		Version:         oleanderspool.VersionID(r.text("version")),
		Set:             oleanderspool.ServerSetID(r.text("set")),
		MaxPromptTokens: int(r.integer("max_prompt_tokens")),
	}
}

func readVersion(r *memberReader) Version {
	return Version{
		ID:       oleanderspool.VersionID(r.text("id")),
		Model:    oleanderspool.ModelID(r.text("model")),
		Artefact: r.text("artefact"),
	}
}

func readAdapter(r *memberReader) Adapter {
	return Adapter{
		ID:       oleanderspool.AdapterID(r.text("id")),
		Model:    oleanderspool.ModelID(r.text("model")),
		Artefact: r.text("artefact"),
	}
}

func readClientAccount(r *memberReader) ClientAccount {
	return ClientAccount{
		ID:              oleanderspool.ClientAccountID(r.text("id")),
		KeyHash:         r.text("key_hash"),
		Priority:        oleanderspool.PriorityID(r.text("priority")),
		RequestsPerSec:  r.float("requests_per_sec"),
		BurstRequests:   int(r.integer("burst_requests")),
		ShareOfCapacity: r.float("share_of_capacity"),
	}
}

func readPriority(r *memberReader) Priority {
	return Priority{
		ID:    oleanderspool.PriorityID(r.text("id")),
		Level: int(r.integer("level")),
	}
}

func readServerSet(r *memberReader) ServerSet {
	set := ServerSet{
		ID:         oleanderspool.ServerSetID(r.text("id")),
		EngineRole: r.text("engine_role"),
	}
	var instances []oleanderspool.InstanceID
	for _, instance := range r.texts("instances") {
		instances = append(instances, oleanderspool.InstanceID(instance))
	}
	return set.WithInstances(instances...)
}

func readServiceRoute(r *memberReader) ServiceRoute {
	return ServiceRoute{
		ID:         oleanderspool.RouteID(r.text("id")),
		Set:        oleanderspool.ServerSetID(r.text("set")),
		Idempotent: r.boolean("idempotent"),
	}
}
