package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth limits the nesting of JSON input, so that malicious input cannot
// exhaust the stack. The printed formats need 4 levels.
const maxDepth = 16

// nodeKind is the type of a JSON value.
type nodeKind string

const (
	nodeObject nodeKind = "object"
	nodeArray  nodeKind = "array"
	nodeString nodeKind = "string"
	nodeNumber nodeKind = "number"
	nodeBool   nodeKind = "boolean"
	nodeNull   nodeKind = "null"
)

// node is a JSON value with the line on which it starts.
type node struct {
	kind     nodeKind
	line     int
	members  []member // of an object, in input order
	elements []node   // of an array
	text     string   // of a string or number
	boolean  bool     // of a boolean
}

type member struct {
	key   string
	line  int
	value node
}

// syntaxError reports malformed JSON and its line.
type syntaxError struct {
	line    int
	message string
}

// Error returns the line, from 1, and the message.
func (e *syntaxError) Error() string {
	return fmt.Sprintf("line %d: %s", e.line, e.message)
}

// nodeReader reads JSON values and tracks line numbers.
type nodeReader struct {
	data         []byte
	decoder      *json.Decoder
	countedBytes int64 // number of bytes whose line breaks are counted in line
	line         int   // line number at countedBytes, from 1
}

// readNode reads exactly one JSON value. Errors are of type [*syntaxError].
func readNode(data []byte) (node, error) {
	r := &nodeReader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.decoder.UseNumber()
	n, err := r.readValue(0)
	if err != nil {
		return node{}, err
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return node{}, &syntaxError{line: r.currentLine(), message: "unexpected text after the end of the value"}
	}
	return n, nil
}

// currentLine returns the line of the last token. No token extends over several
// lines.
func (r *nodeReader) currentLine() int {
	return r.lineAt(r.decoder.InputOffset())
}

func (r *nodeReader) lineAt(offset int64) int {
	offset = min(offset, int64(len(r.data)))
	if offset > r.countedBytes {
		r.line += bytes.Count(r.data[r.countedBytes:offset], []byte{'\n'})
		r.countedBytes = offset
	}
	return r.line
}

func (r *nodeReader) readToken() (json.Token, error) {
	token, err := r.decoder.Token()
	if err == nil {
		return token, nil
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return nil, &syntaxError{line: r.lineAt(syntax.Offset), message: syntax.Error()}
	}
	return nil, &syntaxError{line: r.lineAt(int64(len(r.data))), message: "unexpected end of input"}
}

func (r *nodeReader) readValue(depth int) (node, error) {
	token, err := r.readToken()
	if err != nil {
		return node{}, err
	}
	n := node{line: r.currentLine()}
	switch t := token.(type) {
	case json.Delim:
		return r.readComposite(n, t, depth+1)
	case string:
		n.kind, n.text = nodeString, t
	case json.Number:
		n.kind, n.text = nodeNumber, t.String()
	case bool:
		n.kind, n.boolean = nodeBool, t
	default:
		n.kind = nodeNull
	}
	return n, nil
}

func (r *nodeReader) readComposite(n node, bracket json.Delim, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, &syntaxError{line: n.line, message: fmt.Sprintf("nested deeper than %d", maxDepth)}
	}
	n.kind = nodeArray
	if bracket == '{' {
		n.kind = nodeObject
	}
	for r.decoder.More() {
		if err := r.readItem(&n, depth); err != nil {
			return node{}, err
		}
	}
	_, err := r.readToken()
	return n, err
}

// readItem reads one member of an object or one element of an array.
func (r *nodeReader) readItem(n *node, depth int) error {
	if n.kind == nodeArray {
		v, err := r.readValue(depth)
		n.elements = append(n.elements, v)
		return err
	}
	key, err := r.readToken()
	if err != nil {
		return err
	}
	m := member{line: r.currentLine()}
	m.key, _ = key.(string) // the decoder accepts only strings as keys
	m.value, err = r.readValue(depth)
	n.members = append(n.members, m)
	return err
}
