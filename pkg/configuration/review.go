package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Unused returns a warning for each object that no request can reach: server sets and
// priorities that nothing refers to, and server sets without an instance.
func (c Configuration) Unused() []oleanderspool.Finding {
	var findings oleanderspool.Findings
	warn := func(ref Ref, field, message string) {
		findings.Add(oleanderspool.Finding{Key: keyPath(ref, field), Message: message, Severity: oleanderspool.SeverityWarning})
	}
	for _, o := range c.Objects() {
		ref := o.Ref()
		if (ref.Kind == KindServerSet || ref.Kind == KindPriority) && c.referenceCount(ref) == 0 {
			warn(ref, "", "nothing refers to the "+ref.String())
		}
		if s, ok := o.(ServerSet); ok && len(s.Instances) == 0 {
			warn(ref, "instances", "the set has no instance")
		}
	}
	return findings.All()
}

// Differences returns what was added, removed and changed between two configurations,
// in ascending order of objects, puts first. What takes something away from callers is
// a warning.
func Differences(base, next Configuration) []oleanderspool.Finding {
	var findings oleanderspool.Findings
	change := Diff(base, next)
	for _, p := range change.Puts {
		ref := p.Object.Ref()
		old, found := base.Object(ref)
		if !found {
			findings.Add(oleanderspool.Finding{Key: keyPath(ref, ""), Message: ref.String() + " was added", Severity: oleanderspool.SeverityInfo})
			continue
		}
		for _, f := range changedFields(old, p.Object) {
			findings.Add(f)
		}
	}
	for _, d := range change.Deletes {
		severity := oleanderspool.SeverityInfo
		switch d.Ref.Kind {
		case KindModel, KindAdapter, KindClientAccount, KindServiceRoute:
			severity = oleanderspool.SeverityWarning
		}
		findings.Add(oleanderspool.Finding{Key: keyPath(d.Ref, ""), Message: d.Ref.String() + " was removed", Severity: severity})
	}
	return findings.All()
}

// reductions says for fields whether a change takes something away from callers.
var reductions = map[Kind]map[string]func(before, after any) bool{
	KindModel: {"set": anyChange, "max_prompt_tokens": lowerNumber},
	KindClientAccount: {
		"key_hash": anyChange, "priority": anyChange, "requests_per_sec": lowerRate,
		"burst_requests": lowerNumber, "share_of_capacity": lowerNumber,
	},
	KindPriority:     {"level": lowerNumber},
	KindServerSet:    {"instances": lostItem},
	KindServiceRoute: {"set": anyChange, "idempotent": func(_, after any) bool { return after == false }},
}

func anyChange(_, _ any) bool { return true }

func lowerNumber(before, after any) bool {
	b, _ := before.(float64)
	a, _ := after.(float64)
	return a < b
}

// lowerRate is for rates, where 0 means no limit.
func lowerRate(before, after any) bool {
	return after != 0.0 && (before == 0.0 || lowerNumber(before, after))
}

func lostItem(before, after any) bool {
	b, _ := before.([]any)
	a, _ := after.([]any)
	return slices.ContainsFunc(b, func(x any) bool { return !slices.Contains(a, x) })
}

// changedFields compares the printed forms of two objects with the same reference.
func changedFields(before, after Object) []oleanderspool.Finding {
	old, next := printedFields(before), printedFields(after)
	var names []string
	for name := range next {
		names = append(names, name)
	}
	slices.Sort(names)
	ref := after.Ref()
	var findings []oleanderspool.Finding
	for _, name := range names {
		b, a := old[name], next[name]
		if bytes.Equal(b, a) {
			continue
		}
		finding := oleanderspool.Finding{Key: keyPath(ref, name), Message: fmt.Sprintf("changed from %s to %s", b, a), Severity: oleanderspool.SeverityInfo}
		if reduces := reductions[ref.Kind][name]; reduces != nil && reduces(valueOf(b), valueOf(a)) {
			finding.Severity = oleanderspool.SeverityWarning
		}
		findings = append(findings, finding)
	}
	return findings
}

// printedFields returns the fields of an object in the printed format.
func printedFields(o Object) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	// The printer writes the members of an object without its braces. They can always
	// be decoded.
	_ = json.Unmarshal(slices.Concat([]byte("{"), printObject(o), []byte("}")), &fields)
	return fields
}

// valueOf returns the value of a printed field.
func valueOf(text json.RawMessage) any {
	var value any
	_ = json.Unmarshal(text, &value) // the printer wrote it
	return value
}
