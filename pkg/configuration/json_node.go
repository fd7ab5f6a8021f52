package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth bounds the nesting of JSON input, so that hostile input cannot
// exhaust the stack. The printed formats need 4.
const maxDepth = 16

// nodeKind is the type of a JSON value.
type nodeKind string

const (
	nodeObject nodeKind = "object"
	nodeArray  nodeKind = "array"
	nodeText   nodeKind = "string"
	nodeNumber nodeKind = "number"
	nodeBool   nodeKind = "boolean"
	nodeNull   nodeKind = "null"
)

// node is a JSON value with the line that it starts at.
type node struct {
	kind     nodeKind
	line     int
	members  []member // of an object, in order of input
	elements []node   // of an array
	text     string   // of a string or number
	truth    bool     // of a boolean
}

type member struct {
	key   string
	line  int
	value node
}

// syntaxError is malformed JSON at a line.
type syntaxError struct {
	line    int
	message string
}

// Error returns the line, from 1, and the message.
func (e *syntaxError) Error() string {
	return fmt.Sprintf("line %d: %s", e.line, e.message)
}

// nodeReader reads JSON values and counts lines.
type nodeReader struct {
	data    []byte
	decoder *json.Decoder
	counted int64 // bytes whose line ends are in line
	line    int   // line at counted, from 1
}

// readNode reads exactly one JSON value. Errors are of type [*syntaxError].
func readNode(data []byte) (node, error) {
	r := &nodeReader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.decoder.UseNumber()
	n, err := r.value(0)
	if err != nil {
		return node{}, err
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return node{}, &syntaxError{line: r.here(), message: "unexpected text after the end of the value"}
	}
	return n, nil
}

// here returns the line at which the last token ends. Tokens do not span
// lines.
func (r *nodeReader) here() int {
	return r.lineAt(r.decoder.InputOffset())
}

func (r *nodeReader) lineAt(offset int64) int {
	offset = min(offset, int64(len(r.data)))
	if offset > r.counted {
		r.line += bytes.Count(r.data[r.counted:offset], []byte{'\n'})
		r.counted = offset
	}
	return r.line
}

func (r *nodeReader) token() (json.Token, error) {
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

func (r *nodeReader) value(depth int) (node, error) {
	token, err := r.token()
	if err != nil {
		return node{}, err
	}
	n := node{line: r.here()}
	switch t := token.(type) {
	case json.Delim:
		return r.composite(n, t, depth+1)
	case string:
		n.kind, n.text = nodeText, t
	case json.Number:
		n.kind, n.text = nodeNumber, t.String()
	case bool:
		n.kind, n.truth = nodeBool, t
	default:
		n.kind = nodeNull
	}
	return n, nil
}

func (r *nodeReader) composite(n node, bracket json.Delim, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, &syntaxError{line: n.line, message: fmt.Sprintf("nested deeper than %d", maxDepth)}
	}
	n.kind = nodeArray
	if bracket == '{' {
		n.kind = nodeObject
	}
	for r.decoder.More() {
		if err := r.part(&n, depth); err != nil {
			return node{}, err
		}
	}
	_, err := r.token()
	return n, err
}

// part reads one member or element.
func (r *nodeReader) part(n *node, depth int) error {
	if n.kind == nodeArray {
		v, err := r.value(depth)
		n.elements = append(n.elements, v)
		return err
	}
	key, err := r.token()
	if err != nil {
		return err
	}
	m := member{line: r.here()}
	m.key, _ = key.(string) // the decoder accepts only strings as keys
	m.value, err = r.value(depth)
	n.members = append(n.members, m)
	return err
}
