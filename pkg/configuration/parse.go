package configuration

import (
	"errors"
	"fmt"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Parse parses a configuration in the printed format. Keys and objects may be in
// any order, and white space is ignored. The file name is used only in findings. It returns an error of type [oleanderspool.ErrInvalid] with all
// findings, each with its line and key.
func Parse(file string, data []byte) (Configuration, error) {
	p := &parser{file: file}
	root, valid := p.parseRoot(data)
	if !valid {
		return Configuration{}, p.err()
	}
	top := newMemberReader(file, "", root, &p.findings)
	p.checkFormat(top)
	var objects []parsedObject
	for i := range kindSpecs {
		section, _ := top.require(kindSpecs[i].section, nodeArray)
		for j, n := range section.elements {
			path := fmt.Sprintf("%s[%d]", kindSpecs[i].section, j)
			objects = append(objects, p.parseObject(&kindSpecs[i], path, n, false))
		}
	}
	top.reportUnknown()
	c, findings := Configuration{}.replace(p.unique(objects), nil)
	p.addLocated(findings)
	if err := p.err(); err != nil {
		return Configuration{}, err
	}
	for _, o := range objects {
		if o.revision != 0 {
			c = c.WithRevision(o.object.Ref(), o.revision)
		}
	}
	return c, nil
}

// parsedObject is an object with its revision and its line.
type parsedObject struct {
	object   Object
	revision oleanderspool.Revision
	line     int
}

// parser collects the findings of one input and the lines of its keys.
type parser struct {
	file     string
	findings oleanderspool.Findings
	objects  []objectNode
	lines    map[string]int // line by key path, built on demand by lineOf
}

// objectNode is the JSON value of an object, from which the lines of its keys
// are derived.
type objectNode struct {
	ref     Ref
	node    node
	invalid map[string]bool // keys whose value has a wrong type
}

// lineOf returns the line of a key path, or 0 for a key that is missing or whose
// value has a wrong type. The table of lines is built only for input with
// findings, since it takes more memory than the configuration.
func (p *parser) lineOf(path string) int {
	if p.lines == nil {
		p.lines = map[string]int{}
		for _, o := range p.objects {
			p.recordLine(keyPath(o.ref, ""), o.node.line)
			for _, m := range o.node.members {
				if !o.invalid[m.key] {
					p.recordLine(keyPath(o.ref, m.key), m.line)
				}
			}
		}
	}
	return p.lines[path]
}

// parseRoot reads the JSON value. It returns false after a syntax error.
func (p *parser) parseRoot(data []byte) (node, bool) {
	n, err := readNode(data)
	var syntax *syntaxError
	if errors.As(err, &syntax) {
		p.findings.Add(oleanderspool.Finding{File: p.file, Line: syntax.line, Message: syntax.message})
		return n, false
	}
	return n, true
}

// err returns one error with all findings in order of their lines, or nil.
func (p *parser) err() error {
	return errorOf(slices.SortedStableFunc(slices.Values(p.findings.All()), func(a, b oleanderspool.Finding) int {
		return a.Line - b.Line
	}))
}

func (p *parser) checkFormat(top *memberReader) {
	n, found := top.require("format", nodeNumber)
	if found && n.text != fmt.Sprint(formatVersion) {
		top.addFinding(n.line, "format", fmt.Sprintf("%s is not supported, only %d", n.text, formatVersion))
	}
}

// parseObject parses an object and records its node, from which the lines of its
// members are derived. Only objects of a change set have a member for the kind.
func (p *parser) parseObject(spec *kindSpec, path string, n node, withKind bool) parsedObject {
	r := newMemberReader(p.file, path, n, &p.findings)
	if withKind {
		r.text("kind")
	}
	o := parsedObject{object: spec.read(r), line: n.line}
	o.revision = r.revision()
	r.reportUnknown()
	p.objects = append(p.objects, objectNode{ref: o.object.Ref(), node: n, invalid: r.invalid})
	return o
}

func (p *parser) recordLine(path string, line int) {
	if _, known := p.lines[path]; !known {
		p.lines[path] = line
	}
}

// unique drops repeated objects and adds a finding with the line of each.
func (p *parser) unique(objects []parsedObject) []Object {
	seen := make(map[Ref]bool, len(objects))
	kept := make([]Object, 0, len(objects))
	for _, o := range objects {
		ref := o.object.Ref()
		if ref.ID == "" && p.lineOf(keyPath(ref, "id")) == 0 {
			continue // already reported: the id is missing or not a string
		}
		if seen[ref] {
			p.findings.Add(oleanderspool.Finding{
				File: p.file, Line: o.line, Key: keyPath(ref, ""),
				Message: fmt.Sprintf("is given twice, first at line %d", p.lineOf(keyPath(ref, ""))),
			})
			continue
		}
		seen[ref] = true
		kept = append(kept, o.object)
	}
	return kept
}

// addLocated adds findings of checks with the file and the lines of their keys.
// It drops findings about members that are already reported as missing or of a
// wrong type.
func (p *parser) addLocated(findings []oleanderspool.Finding) {
	for _, f := range findings {
		f.File = p.file
		f.Line = p.lineOf(f.Key)
		if f.Line == 0 {
			continue
		}
		p.findings.Add(f)
	}
}
