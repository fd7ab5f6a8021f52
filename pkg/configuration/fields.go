package configuration

import (
	"math"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// fields reads the members of one JSON object by key, and reports members that
// are missing, unknown, repeated or of a wrong type.
type fields struct {
	file     string
	place    string // key of the object in findings
	line     int    // line of the object
	members  []member
	used     []bool
	faulty   map[string]bool // keys whose value has a wrong type
	findings *oleanderspool.Findings
}

// fieldsOf returns the members of n. It adds a finding and returns no members
// when n is not an object.
func fieldsOf(file, place string, n node, findings *oleanderspool.Findings) *fields {
	f := &fields{file: file, place: place, line: n.line, findings: findings}
	if n.kind != nodeObject {
		f.add(n.line, "", "expected an object, found "+article(n.kind))
		return f
	}
	f.members = n.members
	f.used = make([]bool, len(n.members))
	return f
}

func (f *fields) add(line int, key, message string) {
	place := f.place
	if place != "" && key != "" {
		place += "."
	}
	f.findings.Add(oleanderspool.Finding{File: f.file, Line: line, Key: place + key, Message: message})
}

// fault adds a finding about the value of a key.
func (f *fields) fault(line int, key, message string) {
	if f.faulty == nil {
		f.faulty = map[string]bool{}
	}
	f.faulty[key] = true
	f.add(line, key, message)
}

// article returns the name of a kind with its article.
func article(kind nodeKind) string {
	switch kind {
	case nodeObject, nodeArray:
		return "an " + string(kind)
	case nodeNull:
		return string(kind)
	default:
		return "a " + string(kind)
	}
}

// find returns the member with the given key and reports repeated ones.
func (f *fields) find(key string) (member, bool) {
	var result member
	found := false
	for i, m := range f.members {
		if m.key != key {
			continue
		}
		if f.used[i] {
			return m, true
		}
		f.used[i] = true
		if found {
			f.add(m.line, key, "key is given twice")
			continue
		}
		result, found = m, true
	}
	return result, found
}

// take returns the value of a required member if it has the given kind.
func (f *fields) take(key string, kind nodeKind) (node, bool) {
	m, found := f.find(key)
	if !found {
		if f.used != nil {
			f.add(f.line, key, "key is missing")
		}
		return node{}, false
	}
	if m.value.kind != kind {
		f.fault(m.line, key, "expected "+article(kind)+", found "+article(m.value.kind))
		return node{}, false
	}
	return m.value, true
}

func (f *fields) text(key string) string {
	n, _ := f.take(key, nodeText)
	return n.text
}

func (f *fields) boolean(key string) bool {
	n, _ := f.take(key, nodeBool)
	return n.truth
}

func (f *fields) integer(key string) int64 {
	n, found := f.take(key, nodeNumber)
	if !found {
		return 0
	}
	value, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil {
		f.fault(n.line, key, n.text+" is not an integer of 64 bits")
	}
	return value
}

func (f *fields) float(key string) float64 {
	n, found := f.take(key, nodeNumber)
	if !found {
		return 0
	}
	value, err := strconv.ParseFloat(n.text, 64)
	if err != nil || math.IsInf(value, 0) {
		f.fault(n.line, key, n.text+" is not a number of 64 bits")
		return 0
	}
	return value
}

// revision reads the optional revision of an object.
func (f *fields) revision() oleanderspool.Revision {
	if _, found := f.find("revision"); !found {
		return 0
	}
	value := f.integer("revision")
	if value < 0 {
		f.add(f.line, "revision", "is negative")
	}
	return oleanderspool.Revision(value)
}

func (f *fields) texts(key string) []string {
	n, found := f.take(key, nodeArray)
	if !found {
		return nil
	}
	values := make([]string, 0, len(n.elements))
	for _, e := range n.elements {
		if e.kind != nodeText {
			f.fault(e.line, key, "expected a string, found "+article(e.kind))
			continue
		}
		values = append(values, e.text)
	}
	return values
}

// finish reports the members that nothing asked for.
func (f *fields) finish() {
	for i, m := range f.members {
		if !f.used[i] {
			f.add(m.line, m.key, "unknown key")
		}
	}
}

func readModel(f *fields) Model {
	return Model{
		ID:              oleanderspool.ModelID(f.text("id")),
		Version:         oleanderspool.VersionID(f.text("version")),
		Set:             oleanderspool.ServerSetID(f.text("set")),
		MaxPromptTokens: int(f.integer("max_prompt_tokens")),
	}
}

func readVersion(f *fields) Version {
	return Version{
		ID:       oleanderspool.VersionID(f.text("id")),
		Model:    oleanderspool.ModelID(f.text("model")),
		Artefact: f.text("artefact"),
	}
}

func readAdapter(f *fields) Adapter {
	return Adapter{
		ID:       oleanderspool.AdapterID(f.text("id")),
		Model:    oleanderspool.ModelID(f.text("model")),
		Artefact: f.text("artefact"),
	}
}

func readClientAccount(f *fields) ClientAccount {
	return ClientAccount{
		ID:              oleanderspool.ClientAccountID(f.text("id")),
		KeyHash:         f.text("key_hash"),
		Priority:        oleanderspool.PriorityID(f.text("priority")),
		RequestsPerSec:  f.float("requests_per_sec"),
		BurstRequests:   int(f.integer("burst_requests")),
		ShareOfCapacity: f.float("share_of_capacity"),
	}
}

func readPriority(f *fields) Priority {
	return Priority{
		ID:    oleanderspool.PriorityID(f.text("id")),
		Level: int(f.integer("level")),
	}
}

func readServerSet(f *fields) ServerSet {
	set := ServerSet{
		ID:         oleanderspool.ServerSetID(f.text("id")),
		EngineRole: f.text("engine_role"),
	}
	var instances []oleanderspool.InstanceID
	for _, instance := range f.texts("instances") {
		instances = append(instances, oleanderspool.InstanceID(instance))
	}
	return set.WithInstances(instances...)
}

func readServiceRoute(f *fields) ServiceRoute {
	return ServiceRoute{
		ID:         oleanderspool.RouteID(f.text("id")),
		Set:        oleanderspool.ServerSetID(f.text("set")),
		Idempotent: f.boolean("idempotent"),
	}
}
