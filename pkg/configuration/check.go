package configuration

import (
	"fmt"
	"math"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
)

// The ranges of values.
const (
	maxIDBytes        = 128        // bytes of an id
	maxArtefactBytes  = 512        // bytes of a name in the weight store
	maxPromptTokens   = 10_000_000 // tokens of a prompt
	maxRequestsPerSec = 1_000_000  // requests per second of a client account
	maxBurstRequests  = 1_000_000  // requests of a client account at once
	maxLevel          = 100        // level of a priority
	keyHashBytes      = 64         // digits of a SHA-256 hash in hexadecimal
)

// findingsProperty carries the findings of an error.
var findingsProperty = errorx.RegisterProperty("findings")

// FindingsOf returns the findings that an error of this package carries.
func FindingsOf(err error) []oleanderspool.Finding {
	value, found := errorx.ExtractProperty(err, findingsProperty)
	if !found {
		return nil
	}
	return value.([]oleanderspool.Finding)
}

// errorOf returns nil without findings, else one error of type
// [oleanderspool.ErrInvalid] that lists and carries all of them.
func errorOf(list []oleanderspool.Finding) error {
	if len(list) == 0 {
		return nil
	}
	var findings oleanderspool.Findings
	for _, f := range list {
		findings.Add(f)
	}
	return errorx.Cast(findings.Err()).WithProperty(findingsProperty, list)
}

// placeOf returns the key of an object, or of one of its fields, in findings.
func placeOf(ref Ref, field string) string {
	place := string(ref.Kind)
	if spec, known := specOf(ref.Kind); known {
		place = spec.section
	}
	id := ref.ID
	if idFault(id) != "" {
		id = strconv.Quote(id)
	}
	place += "." + id
	if field != "" {
		place += "." + field
	}
	return place
}

// checker collects the findings of one object.
type checker struct {
	ref      Ref
	previous *Configuration // configuration before the change
	next     *Configuration // configuration after the change
	findings *oleanderspool.Findings
}

func (c *checker) addf(field, format string, args ...any) {
	c.findings.Addf(placeOf(c.ref, field), format, args...)
}

// object checks the id, the references and the fields of an object.
func (c *checker) object(o Object) {
	c.ref = o.Ref()
	if fault := idFault(c.ref.ID); fault != "" {
		c.addf("id", "%s", fault)
	}
	for _, r := range o.references() {
		c.reference(r)
	}
	o.check(c)
}

func (c *checker) reference(r reference) {
	if fault := idFault(r.target.ID); fault != "" {
		c.addf(r.field, "%s", fault)
		return
	}
	if _, found := c.next.Object(r.target); !found {
		c.addf(r.field, "%s does not exist", r.target)
	}
}

func (c *checker) intRange(field string, value, low, high int) {
	if value < low || value > high {
		c.addf(field, "%d is not in the range %d to %d", value, low, high)
	}
}

func (c *checker) artefact(value string) {
	if fault := nameFault(value, maxArtefactBytes, "/:@"); fault != "" {
		c.addf("artefact", "%s", fault)
	}
}

// idFault returns what is wrong with an id, or nothing.
func idFault(id string) string {
	return nameFault(id, maxIDBytes, "")
}

// nameFault returns what is wrong with a name that may hold ASCII letters,
// digits, ".", "_", "-" and the extra characters, and starts with a letter or
// a digit.
func nameFault(name string, limit int, extra string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > limit {
		return fmt.Sprintf("has %d bytes, more than %d", len(name), limit)
	}
	for i, r := range name {
		if isAlphanumeric(r) || i > 0 && isPunctuation(r, extra) {
			continue
		}
		return fmt.Sprintf("%q: character %q is not allowed at byte %d", name, r, i+1)
	}
	return ""
}

func isAlphanumeric(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
}

func isPunctuation(r rune, extra string) bool {
	for _, allowed := range "._-" + extra {
		if r == allowed {
			return true
		}
	}
	return false
}

func (m Model) check(c *checker) {
	c.intRange("max_prompt_tokens", m.MaxPromptTokens, 1, maxPromptTokens)
	if v, found := c.next.versions.get(m.Version); found && v.Model != m.ID {
		c.addf("version", "version %s belongs to model %s", v.ID, v.Model)
	}
}

// check also covers the model that used the version before the change: only
// that model can be left with a version of another one.
func (v Version) check(c *checker) {
	c.artefact(v.Artefact)
	before, found := c.previous.versions.get(v.ID)
	if !found || before.Model == v.Model {
		return
	}
	if m, found := c.next.models.get(before.Model); found && m.Version == v.ID {
		c.addf("model", "version is in service for model %s", m.ID)
	}
}

func (a Adapter) check(c *checker) {
	c.artefact(a.Artefact)
}

func (c ClientAccount) check(k *checker) {
	if !isKeyHash(c.KeyHash) {
		k.addf("key_hash", "is not a SHA-256 hash of %d lower-case hexadecimal digits", keyHashBytes)
	}
	if !(c.RequestsPerSec >= 0 && c.RequestsPerSec <= maxRequestsPerSec) {
		k.addf("requests_per_sec", "%v is not in the range 0 to %d", c.RequestsPerSec, maxRequestsPerSec)
	}
	k.intRange("burst_requests", c.BurstRequests, 0, maxBurstRequests)
	if c.RequestsPerSec > 0 && c.BurstRequests == 0 {
		k.addf("burst_requests", "must be at least 1 when requests_per_sec is a limit, else no request is admitted")
	}
	if math.IsNaN(c.ShareOfCapacity) || c.ShareOfCapacity <= 0 || c.ShareOfCapacity > 1 {
		k.addf("share_of_capacity", "%v is not in the range above 0 to 1", c.ShareOfCapacity)
	}
}

func isKeyHash(s string) bool {
	if len(s) != keyHashBytes {
		return false
	}
	for _, r := range s {
		if r > '9' && (r < 'a' || r > 'f') || r < '0' {
			return false
		}
	}
	return true
}

func (p Priority) check(c *checker) {
	c.intRange("level", p.Level, 0, maxLevel)
}

func (s ServerSet) check(c *checker) {
	if s.EngineRole != "" {
		if fault := idFault(s.EngineRole); fault != "" {
			c.addf("engine_role", "%s", fault)
		}
	}
	for i, instance := range s.Instances {
		if fault := idFault(string(instance)); fault != "" {
			c.addf("instances", "%s", fault)
		}
		if i > 0 && s.Instances[i-1] == instance {
			c.addf("instances", "%s is listed twice", instance)
			continue
		}
		s.checkRole(c, instance)
	}
}

// checkRole finds sets that order another engine role for the same instance.
func (s ServerSet) checkRole(c *checker, instance oleanderspool.InstanceID) {
	if s.EngineRole == "" {
		return
	}
	for _, id := range c.next.SetsOf(instance) {
		other, _ := c.next.sets.get(id)
		if other.EngineRole != "" && other.EngineRole != s.EngineRole {
			c.addf("engine_role", "instance %s has engine role %s in server set %s", instance, other.EngineRole, id)
		}
	}
}

func (ServiceRoute) check(*checker) {}
