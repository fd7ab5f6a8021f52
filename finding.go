package oleanderspool

import (
	"fmt"
	"strings"
)

// Finding is one error in an input, with its position.
type Finding struct {
	File    string // empty when the input is not a file
	Line    int    // from 1; 0 when unknown
	Key     string // path of the key within the input
	Message string
}

// String returns the finding as "file:line: key: message", without the parts
// that are unknown.
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
