package openai

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"unicode/utf8"

	"github.com/oleanderspool/oleanderspool"
)

// object is a JSON object whose fields are read one by one. Faults are collected
// in findings; null counts as absent, as client libraries send it.
type object struct {
	path     string // prefix of the keys in findings
	fields   map[string]json.RawMessage
	findings *collector
}

// collector collects findings up to [MaxFindings] and counts the rest.
type collector struct {
	oleanderspool.Findings
	omitted int
}

func (c *collector) addf(key, format string, args ...any) {
	if len(c.All()) >= MaxFindings {
		c.omitted++
		return
	}
	c.Addf(key, format, args...)
}

func (c *collector) err() error {
	if c.omitted > 0 {
		c.Addf("", "%d more findings", c.omitted)
	}
	return c.Err()
}

// parseObject parses a body. It returns false when the body is no object.
func parseObject(body []byte, findings *collector) (object, bool) {
	if !utf8.Valid(body) {
		findings.addf("", "body is not UTF-8")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		findings.Add(oleanderspool.Finding{Line: lineOf(body, err), Message: syntaxMessage(err)})
		return object{}, false
	}
	if fields == nil {
		findings.addf("", "body is not a JSON object")
		return object{}, false
	}
	return object{fields: fields, findings: findings}, true
}

func syntaxMessage(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return "body is not a JSON object"
	}
	return "body is not JSON: " + err.Error()
}

// lineOf returns the line of a syntax error, from 1; 0 when it is unknown.
func lineOf(body []byte, err error) int {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return 0
	}
	end := min(max(syntax.Offset, 0), int64(len(body)))
	return 1 + bytes.Count(body[:end], []byte("\n"))
}

// raw returns the value of a field, and false when it is absent or null.
func (o object) raw(key string) (json.RawMessage, bool) {
	value, found := o.fields[key]
	return value, found && string(value) != "null"
}

func (o object) addf(key, format string, args ...any) {
	o.findings.addf(o.path+key, format, args...)
}

// text returns a string field.
func (o object) text(key string) (string, bool) {
	value, found := o.raw(key)
	if !found {
		return "", false
	}
	var s string
	if json.Unmarshal(value, &s) != nil {
		o.addf(key, "must be a string")
		return "", false
	}
	return s, true
}

// flag returns a boolean field, false when absent.
func (o object) flag(key string) bool {
	value, found := o.raw(key)
	if !found {
		return false
	}
	var b bool
	if json.Unmarshal(value, &b) != nil {
		o.addf(key, "must be true or false")
	}
	return b
}

// integer returns an integer field within bounds.
func (o object) integer(key string, low, high int64) (int64, bool) {
	value, found := o.raw(key)
	if !found {
		return 0, false
	}
	var n int64
	if json.Unmarshal(value, &n) != nil {
		o.addf(key, "must be an integer")
		return 0, false
	}
	if n < low || n > high {
		o.addf(key, "must be from %d to %d", low, high)
		return 0, false
	}
	return n, true
}

// number checks a number field within bounds.
func (o object) number(key string, low, high float64) {
	value, found := o.raw(key)
	if !found {
		return
	}
	var n float64
	if json.Unmarshal(value, &n) != nil || math.IsNaN(n) {
		o.addf(key, "must be a number")
		return
	}
	if n < low || n > high {
		o.addf(key, "must be from %g to %g", low, high)
	}
}

// child returns an object field.
func (o object) child(key string) (object, bool) {
	value, found := o.raw(key)
	if !found {
		return object{}, false
	}
	return o.objectAt(key, value)
}

// objectAt returns value as an object at the given key.
func (o object) objectAt(key string, value json.RawMessage) (object, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil || fields == nil {
		o.addf(key, "must be an object")
		return object{}, false
	}
	return object{path: o.path + key + ".", fields: fields, findings: o.findings}, true
}

// list returns an array field of at most limit elements.
func (o object) list(key string, limit int) ([]json.RawMessage, bool) {
	value, found := o.raw(key)
	if !found {
		return nil, false
	}
	var elements []json.RawMessage
	if json.Unmarshal(value, &elements) != nil {
		o.addf(key, "must be an array")
		return nil, false
	}
	if len(elements) > limit {
		o.addf(key, "must have at most %d elements", limit)
		return nil, false
	}
	return elements, true
}

// empty reports whether a field is absent, null, false or an empty value.
func (o object) empty(key string) bool {
	value, found := o.raw(key)
	if !found {
		return true
	}
	var compact bytes.Buffer
	if json.Compact(&compact, value) != nil {
		return false
	}
	switch compact.String() {
	case "false", "0", `""`, "[]", "{}":
		return true
	}
	return false
}
