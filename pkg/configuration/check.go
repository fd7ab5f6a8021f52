package configuration

import (
	"fmt"
	"math"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
)

// The limits of values.
const (
	maxIDBytes        = 128        // bytes of an id
	maxArtefactBytes  = 512        // bytes of an artefact's name in the weight store
	maxPromptTokens   = 10_000_000 // tokens of a prompt
	maxRequestsPerSec = 1_000_000  // requests per second of a client account
	maxBurstRequests  = 1_000_000  // requests in a burst of a client account
	maxLevel          = 100        // level of a priority
	keyHashDigits     = 64         // digits of a SHA-256 hash in hexadecimal
)

// findingsProperty is the error property that holds the findings.
var findingsProperty = errorx.RegisterProperty("findings")

// FindingsOf returns the findings of an error of this package, or nil for any
// other error.
func FindingsOf(err error) []oleanderspool.Finding {
	value, found := errorx.ExtractProperty(err, findingsProperty)
	if !found {
		return nil
	}
	return value.([]oleanderspool.Finding)
}

// errorOf returns nil if there are no findings, else one error of type
// [oleanderspool.ErrInvalid] that lists all of them and has them as a property.
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

// keyPath returns the path that findings use for an object or one of its fields.
func keyPath(ref Ref, field string) string {
	path := string(ref.Kind)
	if spec, known := specOf(ref.Kind); known {
		path = spec.section
	}
	id := ref.ID
	if idProblem(id) != "" {
		id = strconv.Quote(id)
	}
	path += "." + id
	if field != "" {
		path += "." + field
	}
	return path
}

// checker collects the findings of one object.
type checker struct {
	ref      Ref
	previous *Configuration // configuration before the change
	next     *Configuration // configuration after the change
	findings *oleanderspool.Findings
}

func (c *checker) addf(field, format string, args ...any) {
	c.findings.Addf(keyPath(c.ref, field), format, args...)
}

// object checks the id, the references and the fields of an object.
func (c *checker) object(o Object) {
	c.ref = o.Ref()
	if problem := idProblem(c.ref.ID); problem != "" {
		c.addf("id", "%s", problem)
	}
	for _, r := range o.references() {
		c.reference(r)
	}
	o.check(c)
}

func (c *checker) reference(r reference) {
	if problem := idProblem(r.target.ID); problem != "" {
		c.addf(r.field, "%s", problem)
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
	if problem := nameProblem(value, maxArtefactBytes, "/:@"); problem != "" {
		c.addf("artefact", "%s", problem)
	}
}

// idProblem returns what is wrong with an id, or an empty string for a valid id.
func idProblem(id string) string {
	return nameProblem(id, maxIDBytes, "")
}

// nameProblem returns what is wrong with a name, or an empty string for a valid
// one. A name consists of ASCII letters, digits, ".", "_", "-" and the extra
// characters, and starts with a letter or a digit.
func nameProblem(name string, limit int, extra string) string {
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

// check also checks the model to which the version belonged before the change:
// only that model can end up with a version that belongs to another model.
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
		k.addf("key_hash", "is not a SHA-256 hash of %d lower-case hexadecimal digits", keyHashDigits)
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
	if len(s) != keyHashDigits {
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
		if problem := idProblem(s.EngineRole); problem != "" {
			c.addf("engine_role", "%s", problem)
		}
	}
	for i, instance := range s.Instances {
		if problem := idProblem(string(instance)); problem != "" {
			c.addf("instances", "%s", problem)
		}
		if i > 0 && s.Instances[i-1] == instance {
			c.addf("instances", "%s is listed twice", instance)
			continue
		}
		s.checkRole(c, instance)
	}
}

// checkRole reports sets that assign another engine role to the same instance.
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
