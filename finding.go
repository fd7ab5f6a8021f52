package oleanderspool

import (
	"fmt"
	"strings"
)

// Severity is how serious a finding is.
type Severity int

// The severities, the most serious one first. The zero value is an error.
const (
	SeverityError   Severity = iota // the input must not be used
	SeverityWarning                 // the input can be used, but probably does not do what was meant
	SeverityInfo                    // a statement about the input
)

// String returns the name that is printed.
func (s Severity) String() string {
	switch s {
	case SeverityError:
		return "error"
	case SeverityWarning:
		return "warning"
	default:
		return "info"
	}
}

// Finding is an error in an input, or something else that is worth knowing about it,
// with its position.
type Finding struct {
	File    string // empty when the input is not a file
	Line    int    // from 1; 0 when unknown
	Key     string // path of the key within the input
	Message string

	Severity Severity
}

// String returns the finding as "file:line: key: message", without the parts
// that are unknown. The message of a finding that is not an error is preceded by
// its severity.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteString(":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Key != "" {
		b.WriteString(f.Key)
		b.WriteString(": ")
	}
	if f.Severity != SeverityError {
		b.WriteString(f.Severity.String())
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings collects the errors in an input, so that all are reported together.
// The zero value is ready for use.
type Findings struct {
	list []Finding
}

// Add adds a finding.
func (f *Findings) Add(finding Finding) {
	f.list = append(f.list, finding)
}

// Addf adds a finding for a key with a formatted message.
func (f *Findings) Addf(key, format string, args ...any) {
	f.Add(Finding{Key: key, Message: fmt.Sprintf(format, args...)})
}

// All returns the findings in the order in which they were added.
func (f *Findings) All() []Finding {
	return f.list
}

// Err returns nil if there are no findings, else one error of type [ErrInvalid]
// that lists all of them, one per line.
func (f *Findings) Err() error {
	if len(f.list) == 0 {
		return nil
	}
	lines := make([]string, len(f.list))
	for i, finding := range f.list {
		lines[i] = finding.String()
	}
	return ErrInvalid.New("%s", strings.Join(lines, "\n"))
}
