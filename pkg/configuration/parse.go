package configuration

import (
	"errors"
	"fmt"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Parse reads a configuration in the printed format. The order of keys and
// objects and the white space are free. The file name is used in findings
// only. It returns an error of type [oleanderspool.ErrInvalid] with all
// findings, each with its line and key.
func Parse(file string, data []byte) (Configuration, error) {
	p := &parser{file: file}
	root, valid := p.root(data)
	if !valid {
		return Configuration{}, p.err()
	}
	top := fieldsOf(file, "", root, &p.findings)
	p.format(top)
	var objects []positioned
	for i := range kindSpecs {
		section, _ := top.take(kindSpecs[i].section, nodeArray)
		for j, n := range section.elements {
			place := fmt.Sprintf("%s[%d]", kindSpecs[i].section, j)
			objects = append(objects, p.object(&kindSpecs[i], place, n, false))
		}
	}
	top.finish()
	c, findings := Configuration{}.replace(p.unique(objects), nil)
	p.locate(findings)
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

// positioned is an object with its revision and its line.
type positioned struct {
	object   Object
	revision oleanderspool.Revision
	line     int
}

// parser collects the findings of one input and the lines of its keys.
type parser struct {
	file     string
	findings oleanderspool.Findings
	objects  []locatedObject
	lines    map[string]int // line by key, as findings of checks name it; see line
}

// locatedObject keeps what the lines of an object's keys are derived from.
type locatedObject struct {
	ref    Ref
	node   node
	faulty map[string]bool // keys whose value has a wrong type
}

// line returns the line of a key, or 0 for one that is missing or whose value
// has a wrong type. The table of lines is built only for input with findings,
// since it takes more memory than the configuration.
func (p *parser) line(place string) int {
	if p.lines == nil {
		p.lines = map[string]int{}
		for _, o := range p.objects {
			p.remember(placeOf(o.ref, ""), o.node.line)
			for _, m := range o.node.members {
				if !o.faulty[m.key] {
					p.remember(placeOf(o.ref, m.key), m.line)
				}
			}
		}
	}
	return p.lines[place]
}

// root reads the JSON value. It returns false after a syntax error.
func (p *parser) root(data []byte) (node, bool) {
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

func (p *parser) format(top *fields) {
	n, found := top.take("format", nodeNumber)
	if found && n.text != fmt.Sprint(formatVersion) {
		top.add(n.line, "format", fmt.Sprintf("%s is not supported, only %d", n.text, formatVersion))
	}
}

// object reads an object and keeps what tells the lines of its members. The kind is a
// member of the objects of a change set only.
func (p *parser) object(spec *kindSpec, place string, n node, withKind bool) positioned {
	f := fieldsOf(p.file, place, n, &p.findings)
	if withKind {
		f.text("kind")
	}
	o := positioned{object: spec.read(f), line: n.line}
	o.revision = f.revision()
	f.finish()
	p.objects = append(p.objects, locatedObject{ref: o.object.Ref(), node: n, faulty: f.faulty})
	return o
}

func (p *parser) remember(place string, line int) {
	if _, known := p.lines[place]; !known {
		p.lines[place] = line
	}
}

// unique drops repeated objects, with a finding at the line of each.
func (p *parser) unique(objects []positioned) []Object {
	seen := make(map[Ref]bool, len(objects))
	kept := make([]Object, 0, len(objects))
	for _, o := range objects {
		ref := o.object.Ref()
		if ref.ID == "" && p.line(placeOf(ref, "id")) == 0 {
			continue // the id is missing, which is reported already
		}
		if seen[ref] {
			p.findings.Add(oleanderspool.Finding{
				File: p.file, Line: o.line, Key: placeOf(ref, ""),
				Message: fmt.Sprintf("is given twice, first at line %d", p.line(placeOf(ref, ""))),
			})
			continue
		}
		seen[ref] = true
		kept = append(kept, o.object)
	}
	return kept
}

// locate adds findings of checks with the file and the lines of their keys.
// Findings that follow from a member reported as missing or of a wrong type
// are dropped.
func (p *parser) locate(findings []oleanderspool.Finding) {
	for _, f := range findings {
		f.File = p.file
		f.Line = p.line(f.Key)
		if f.Line == 0 {
			continue
		}
		p.findings.Add(f)
	}
}
