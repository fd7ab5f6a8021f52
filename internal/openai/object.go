package openai

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/oleanderspool/oleanderspool"
)

// findingCollector collects findings up to [MaxFindings] and counts the rest.
type findingCollector struct {
	oleanderspool.Findings
	omitted int
}

func (c *findingCollector) addf(key, format string, args ...any) {
	if len(c.All()) >= MaxFindings {
		c.omitted++
		return
	}
	c.Addf(key, format, args...)
}

func (c *findingCollector) err() error {
	if c.omitted > 0 {
		c.Addf("", "%d more findings", c.omitted)
	}
	return c.Err()
}

// document is a parsed body. Errors in its values are collected in findings.
type document struct {
	data     []byte
	nodes    []node
	findings findingCollector
}

// value is a value of a document, with the key that findings about it name.
type value struct {
	*document
	index int
	key   string
}

// parseObject parses a body that must be a JSON object.
func parseObject(body []byte) (value, error) {
	d := &document{data: body}
	root := value{document: d}
	if !utf8.Valid(body) {
		d.findings.addf("", "body is not UTF-8")
	}
	nodes, err := scan(body)
	var syntax *syntaxError
	switch {
	case errors.As(err, &syntax):
		line := 1 + bytes.Count(body[:syntax.offset], []byte("\n"))
		d.findings.Add(oleanderspool.Finding{Line: line, Message: "body is not JSON: " + syntax.message})
	case nodes[0].kind != kindObject:
		d.findings.addf("", "body is not a JSON object")
	default:
		d.nodes = nodes
		return root, nil
	}
	return root, d.findings.err()
}

func (v value) node() node {
	return v.nodes[v.index]
}

func (v value) raw() []byte {
	return v.data[v.node().start:v.node().end]
}

// addf adds a finding about the value.
func (v value) addf(format string, args ...any) {
	v.findings.addf(v.key, format, args...)
}

// addMissing adds a finding about an absent field of the object v.
func (v value) addMissing(key string) {
	v.findings.addf(v.keyPath(key), "is missing")
}

// keyPath returns the key that findings about a field of the object v name.
func (v value) keyPath(key string) string {
	if v.key == "" {
		return key
	}
	return v.key + "." + key
}

// field returns a field of the object v. It returns false when it is absent or
// null, which client libraries send for an absent field.
func (v value) field(key string) (value, bool) {
	found := value{document: v.document, key: v.keyPath(key)}
	for i := v.index + 1; i < v.node().next; i = v.nodes[i].next {
		if !v.hasKey(i, key) {
			continue
		}
		if found.index > 0 {
			found.addf("appears more than once")
			break
		}
		found.index = i
	}
	return found, found.index > 0 && found.node().kind != kindNull
}

// hasKey reports whether the field at a node index has the given key.
func (v value) hasKey(index int, key string) bool {
	n := v.nodes[index]
	raw := v.data[n.keyStart:n.keyEnd]
	if bytes.IndexByte(raw, '\\') >= 0 {
		return unquote(raw) == key
	}
	return string(raw[1:len(raw)-1]) == key
}

// eachElement calls f for each element of the array v. It adds a finding if v is
// no array or has more than limit elements.
func (v value) eachElement(limit int, f func(element value)) {
	if v.node().kind != kindArray {
		v.addf("must be an array")
		return
	}
	if v.node().count > limit {
		v.addf("must have at most %d elements", limit)
		return
	}
	position := 0
	for i := v.index + 1; i < v.node().next; i = v.nodes[i].next {
		f(value{document: v.document, index: i, key: fmt.Sprintf("%s[%d]", v.key, position)})
		position++
	}
}

// hasKind reports whether the value is of kind k, and adds a finding if it is
// not.
func (v value) hasKind(k kind, name string) bool {
	if v.node().kind == k {
		return true
	}
	v.addf("must be %s", name)
	return false
}

// text returns the text of a string, and false with a finding otherwise.
func (v value) text() (string, bool) {
	if !v.hasKind(kindString, "a string") {
		return "", false
	}
	return unquote(v.raw()), true
}

// boolField returns the boolean field key of the object v, false when absent.
func (v value) boolField(key string) bool {
	f, found := v.field(key)
	return found && f.hasKind(kindBool, "true or false") && string(f.raw()) == "true"
}

// positiveField returns the integer field key, from 1 to high, of the object v. It
// returns false when the field is absent, and false with a finding when it is
// out of bounds.
func (v value) positiveField(key string, high int64) (int64, bool) {
	f, found := v.field(key)
	if !found || !f.hasKind(kindNumber, "an integer") {
		return 0, false
	}
	n, err := strconv.ParseInt(string(f.raw()), 10, 64)
	switch {
	case errors.Is(err, strconv.ErrSyntax):
		f.addf("must be an integer")
	case err != nil || n < 1 || n > high:
		f.addf("must be from 1 to %d", high)
	default:
		return n, true
	}
	return 0, false
}

// checkNumberField adds a finding if the field key of the object v is present
// and not a number from low to high.
func (v value) checkNumberField(key string, low, high float64) {
	f, found := v.field(key)
	if !found || !f.hasKind(kindNumber, "a number") {
		return
	}
	n, err := strconv.ParseFloat(string(f.raw()), 64)
	if err != nil || n < low || n > high {
		f.addf("must be from %g to %g", low, high)
	}
}

// isEmpty reports whether the value is null, false, 0 or an empty string, array
// or object.
func (v value) isEmpty() bool {
	n := v.node()
	switch n.kind {
	case kindNull:
		return true
	case kindArray, kindObject:
		return n.count == 0
	default:
		raw := string(v.raw())
		return raw == "false" || raw == "0" || raw == `""`
	}
}
