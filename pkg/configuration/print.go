package configuration

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// formatVersion is the version of the printed formats.
const formatVersion = 1

// printer appends JSON members in a fixed order.
type printer struct {
	bytes []byte
	first bool // whether the next member or element is the first one
}

func (p *printer) open(bracket byte) {
	p.bytes = append(p.bytes, bracket)
	p.first = true
}

func (p *printer) close(bracket byte) {
	p.bytes = append(p.bytes, bracket)
	p.first = false
}

// separate writes a comma unless the next member or element is the first one.
func (p *printer) separate() {
	if !p.first {
		p.bytes = append(p.bytes, ',')
	}
	p.first = false
}

func (p *printer) key(key string) {
	p.separate()
	p.quote(key)
	p.bytes = append(p.bytes, ':')
}

func (p *printer) text(key, value string) {
	p.key(key)
	p.quote(value)
}

func (p *printer) integer(key string, value int64) {
	p.key(key)
	p.bytes = strconv.AppendInt(p.bytes, value, 10)
}

func (p *printer) boolean(key string, value bool) {
	p.key(key)
	p.bytes = strconv.AppendBool(p.bytes, value)
}

// float prints the shortest decimal that parses to the same value, without an
// exponent. It prints 0 for a number that is not finite.
func (p *printer) float(key string, value float64) {
	p.key(key)
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		p.bytes = append(p.bytes, '0')
		return
	}
	p.bytes = strconv.AppendFloat(p.bytes, value, 'f', -1, 64)
}

func (p *printer) texts(key string, values []string) {
	p.key(key)
	p.open('[')
	for _, v := range values {
		p.separate()
		p.quote(v)
	}
	p.close(']')
}

func (p *printer) quote(value string) {
	quoted, _ := json.Marshal(value) // cannot fail for a string
	p.bytes = append(p.bytes, quoted...)
}

// objectLines prints an array of objects, one per line.
func (p *printer) objectLines(key string, count int, element func(i int)) {
	p.key(key)
	p.open('[')
	for i := range count {
		p.separate()
		p.bytes = append(p.bytes, "\n  "...)
		p.open('{')
		element(i)
		p.close('}')
	}
	if count > 0 {
		p.bytes = append(p.bytes, "\n "...)
	}
	p.close(']')
}

func (p *printer) newLine() {
	p.bytes = append(p.bytes, "\n "...)
}

// Print returns the configuration in the printed format, one object per line.
// Equal configurations print equal bytes. The revision of an object is printed
// unless it is 0.
func (c Configuration) Print() []byte {
	p := &printer{}
	p.open('{')
	p.integer("format", formatVersion)
	for i := range kindSpecs {
		spec := &kindSpecs[i]
		objects := spec.all(&c)
		p.separate()
		p.newLine()
		p.first = true
		p.objectLines(spec.section, len(objects), func(i int) {
			objects[i].write(p)
			p.revision(c.Revision(objects[i].Ref()))
		})
	}
	p.bytes = append(p.bytes, '\n')
	p.close('}')
	p.bytes = append(p.bytes, '\n')
	return p.bytes
}

func (p *printer) revision(revision oleanderspool.Revision) {
	if revision != 0 {
		p.integer("revision", int64(revision))
	}
}

func (m Model) write(p *printer) {
	p.text("id", string(m.ID))
	p.text("version", string(m.Version))
	p.text("set", string(m.Set))
	p.integer("max_prompt_tokens", int64(m.MaxPromptTokens))
}

func (v Version) write(p *printer) {
	p.text("id", string(v.ID))
	p.text("model", string(v.Model))
	p.text("artefact", v.Artefact)
}

func (a Adapter) write(p *printer) {
	p.text("id", string(a.ID))
	p.text("model", string(a.Model))
	p.text("artefact", a.Artefact)
}

func (c ClientAccount) write(p *printer) {
	p.text("id", string(c.ID))
	p.text("key_hash", c.KeyHash)
	p.text("priority", string(c.Priority))
	p.float("requests_per_sec", c.RequestsPerSec)
	p.integer("burst_requests", int64(c.BurstRequests))
	p.float("share_of_capacity", c.ShareOfCapacity)
}

func (p Priority) write(w *printer) {
	w.text("id", string(p.ID))
	w.integer("level", int64(p.Level))
}

func (s ServerSet) write(p *printer) {
	instances := make([]string, len(s.Instances))
	for i, instance := range s.WithInstances(s.Instances...).Instances {
		instances[i] = string(instance)
	}
	p.text("id", string(s.ID))
	p.texts("instances", instances)
	p.text("engine_role", s.EngineRole)
}

func (s ServiceRoute) write(p *printer) {
	p.text("id", string(s.ID))
	p.text("set", string(s.Set))
	p.boolean("idempotent", s.Idempotent)
}
