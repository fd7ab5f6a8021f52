package settings

import (
	"bytes"
	"errors"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/oleanderspool/oleanderspool"
)

// value is a TOML value with its line. Kinds are those of the TOML parser.
type value struct {
	kind     unstable.Kind
	text     string  // source text or string content; not set for an array
	elements []value // of an array
	line     int
	used     bool // a reader has looked up its key
}

// document holds the values of a TOML text by dotted key.
type document struct {
	file      string
	data      []byte
	parser    unstable.Parser
	values    map[string]*value
	tables    map[string]int // line of each table by name
	order     []string       // keys in the order of the text
	truncated bool           // a syntax error ended the parsing, so later keys are unknown
	findings  oleanderspool.Findings
}

// newDocument parses a TOML text. Errors in the text become findings of the
// document. It uses the syntax tree of the TOML library, because the tree has the
// line of every key and the library's decoder does not report it.
func newDocument(file string, data []byte) *document {
	d := &document{file: file, data: data, values: map[string]*value{}, tables: map[string]int{}}
	d.parser.Reset(data)
	prefix := ""
	for d.parser.NextExpression() {
		e := d.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = d.addTable(e)
		case unstable.ArrayTable:
			name, line := d.keyPath("", e.Key())
			d.add(line, name, "arrays of tables are not used in settings")
			prefix = name
		case unstable.KeyValue:
			d.addKeyValue(prefix, e)
		}
	}
	d.addSyntaxError(d.parser.Error())
	return d
}

// addTable records a table and returns its name. It adds a finding if the table
// is defined twice.
func (d *document) addTable(e *unstable.Node) string {
	name, line := d.keyPath("", e.Key())
	if first, found := d.tables[name]; found {
		d.add(line, name, "table is given twice, first at line "+itoa(first))
		return name
	}
	d.tables[name] = line
	return name
}

// addSyntaxError adds a finding for an error of the parser. If there are no
// findings so far, it runs the decoder for the errors that only the decoder
// detects.
func (d *document) addSyntaxError(err error) {
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) {
		d.truncated = true
		d.add(d.lineOf(d.parser.Range(syntax.Highlight).Offset), "", "syntax: "+syntax.Message)
		return
	}
	if len(d.findings.All()) > 0 {
		return
	}
	var decode *toml.DecodeError
	if err := toml.Unmarshal(d.data, &map[string]any{}); errors.As(err, &decode) {
		line, _ := decode.Position()
		d.add(line, strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: "))
	}
}

func (d *document) add(line int, key, message string) {
	d.findings.Add(oleanderspool.Finding{File: d.file, Line: line, Key: key, Message: message})
}

func (d *document) lineOf(offset uint32) int {
	return 1 + bytes.Count(d.data[:offset], []byte{'\n'})
}

// keyPath returns the dotted key below prefix and its line.
func (d *document) keyPath(prefix string, keys unstable.Iterator) (string, int) {
	line := 0
	for keys.Next() {
		if line == 0 {
			line = d.lineOf(keys.Node().Raw.Offset)
		}
		if prefix != "" {
			prefix += "."
		}
		prefix += string(keys.Node().Data)
	}
	return prefix, line
}

func (d *document) addKeyValue(prefix string, e *unstable.Node) {
	key, line := d.keyPath(prefix, e.Key())
	if e.Value().Kind == unstable.InlineTable {
		for it := e.Value().Children(); it.Next(); {
			d.addKeyValue(key, it.Node())
		}
		return
	}
	if first, found := d.values[key]; found {
		d.add(line, key, "is given twice, first at line "+itoa(first.line))
		return
	}
	d.values[key] = newValue(e.Value(), line)
	d.order = append(d.order, key)
}

func newValue(n *unstable.Node, line int) *value {
	v := &value{kind: n.Kind, text: string(n.Data), line: line}
	if n.Kind == unstable.Array {
		for it := n.Children(); it.Next(); {
			v.elements = append(v.elements, *newValue(it.Node(), line))
		}
	}
	return v
}
