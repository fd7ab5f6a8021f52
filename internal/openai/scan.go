package openai

import (
	"bytes"
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// Bounds of a JSON text. They keep the memory for a body below a small multiple
// of what an ordinary body needs.
const (
	maxDepth  = 64
	maxValues = 1 << 17
)

// kind is the type of a JSON value.
type kind uint8

const (
	kindNull kind = iota
	kindBool
	kindNumber
	kindString
	kindArray
	kindObject
)

// node is a value of a parsed JSON text. The nodes of a text are in one slice in
// the order of the text, each before its elements or fields.
type node struct {
	kind     kind
	start    int // in the text
	end      int
	keyStart int // of the key with its quotes, in a field of an object
	keyEnd   int
	next     int // index of the node after this one and all that is within it
	count    int // elements or fields
}

// syntaxError is a fault of a JSON text.
type syntaxError struct {
	offset  int
	message string
}

// Error returns the message.
func (e *syntaxError) Error() string {
	return e.message
}

// scanner parses a JSON text in one pass. encoding/json needs one pass for each
// level of a chat plus one to validate each, 12 ms for a prompt of 100,000
// tokens, which is more than entry and agent may add to the first token.
type scanner struct {
	data  []byte
	at    int
	nodes []node
}

// scan returns the nodes of a JSON text, the first being the whole.
func scan(data []byte) ([]node, error) {
	s := &scanner{data: data}
	if err := s.whole(); err != nil {
		return nil, err
	}
	return s.nodes, nil
}

// whole parses the text as one value.
func (s *scanner) whole() error {
	if err := s.value(0, 0, 0); err != nil {
		return err
	}
	s.space()
	if s.at < len(s.data) {
		return s.fail("text after the end of the value")
	}
	return nil
}

func (s *scanner) fail(format string, args ...any) error {
	return &syntaxError{offset: s.at, message: fmt.Sprintf(format, args...)}
}

// unexpected reports the character at the present position.
func (s *scanner) unexpected(where string) error {
	if s.at >= len(s.data) {
		return s.fail("unexpected end %s", where)
	}
	return s.fail("unexpected character %q %s", s.data[s.at], where)
}

func (s *scanner) space() {
	for s.at < len(s.data) {
		switch s.data[s.at] {
		case ' ', '\t', '\r', '\n':
			s.at++
		default:
			return
		}
	}
}

// peek returns the next character that is no space, or 0 at the end.
func (s *scanner) peek() byte {
	s.space()
	if s.at == len(s.data) {
		return 0
	}
	return s.data[s.at]
}

// value parses a value, with the given key if it is a field.
func (s *scanner) value(depth, keyStart, keyEnd int) error {
	if depth > maxDepth {
		return s.fail("values are nested deeper than %d", maxDepth)
	}
	if len(s.nodes) == maxValues {
		return s.fail("more than %d values", maxValues)
	}
	first := s.peek()
	index := len(s.nodes)
	s.nodes = append(s.nodes, node{start: s.at, keyStart: keyStart, keyEnd: keyEnd})
	k, count, err := s.content(first, depth)
	if err != nil {
		return err
	}
	n := &s.nodes[index]
	n.kind, n.count, n.end, n.next = k, count, s.at, len(s.nodes)
	return nil
}

// content parses a value by its first character.
func (s *scanner) content(first byte, depth int) (k kind, count int, err error) {
	switch first {
	case '{':
		count, err = s.object(depth)
		return kindObject, count, err
	case '[':
		count, err = s.array(depth)
		return kindArray, count, err
	case '"':
		return kindString, 0, s.quoted()
	case 't':
		return kindBool, 0, s.word("true")
	case 'f':
		return kindBool, 0, s.word("false")
	case 'n':
		return kindNull, 0, s.word("null")
	default:
		return kindNumber, 0, s.number()
	}
}

func (s *scanner) word(word string) error {
	if !bytes.HasPrefix(s.data[s.at:], []byte(word)) {
		return s.unexpected("in a value")
	}
	s.at += len(word)
	return nil
}

func (s *scanner) object(depth int) (int, error) {
	s.at++
	if s.peek() == '}' {
		s.at++
		return 0, nil
	}
	for count := 1; ; count++ {
		if s.peek() != '"' {
			return 0, s.unexpected("instead of a key")
		}
		keyStart := s.at
		if err := s.quoted(); err != nil {
			return 0, err
		}
		keyEnd := s.at
		if s.peek() != ':' {
			return 0, s.unexpected("after a key")
		}
		s.at++
		if err := s.value(depth+1, keyStart, keyEnd); err != nil {
			return 0, err
		}
		if done, err := s.separator('}'); done || err != nil {
			return count, err
		}
	}
}

func (s *scanner) array(depth int) (int, error) {
	s.at++
	if s.peek() == ']' {
		s.at++
		return 0, nil
	}
	for count := 1; ; count++ {
		if err := s.value(depth+1, 0, 0); err != nil {
			return 0, err
		}
		if done, err := s.separator(']'); done || err != nil {
			return count, err
		}
	}
}

// separator parses a comma, or the given end.
func (s *scanner) separator(end byte) (done bool, err error) {
	switch s.peek() {
	case ',':
		s.at++
		return false, nil
	case end:
		s.at++
		return true, nil
	default:
		return false, s.unexpected("after a value")
	}
}

// quoted parses a string.
func (s *scanner) quoted() error {
	s.at++
	for {
		s.at += plainLength(s.data[s.at:])
		switch {
		case s.at == len(s.data) || s.data[s.at] < ' ':
			return s.unexpected("in a string")
		case s.data[s.at] == '"':
			s.at++
			return nil
		}
		if err := s.escape(); err != nil {
			return err
		}
	}
}

// special marks the bytes that end a run of plain characters in a string.
var special = func() (table [256]bool) {
	for c := range byte(' ') {
		table[c] = true
	}
	table['"'], table['\\'] = true, true
	return table
}()

// plainLength returns the length of the run of plain characters at the start of
// data. Most of a body is such runs.
func plainLength(data []byte) int {
	for i, c := range data {
		if special[c] {
			return i
		}
	}
	return len(data)
}

func (s *scanner) escape() error {
	s.at++
	if s.at >= len(s.data) {
		return s.unexpected("in an escape")
	}
	if s.data[s.at] != 'u' {
		if bytes.IndexByte([]byte(`"\/bfnrt`), s.data[s.at]) < 0 {
			return s.unexpected("in an escape")
		}
		s.at++
		return nil
	}
	for range 4 {
		s.at++
		if s.at >= len(s.data) || !isHex(s.data[s.at]) {
			return s.unexpected("in an escape")
		}
	}
	s.at++
	return nil
}

func isHex(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func (s *scanner) number() error {
	s.skip('-')
	if !s.skip('0') && !s.digits() {
		return s.unexpected("in a value")
	}
	if s.skip('.') && !s.digits() {
		return s.unexpected("in a number")
	}
	if s.skip('e') || s.skip('E') {
		if !s.skip('+') {
			s.skip('-')
		}
		if !s.digits() {
			return s.unexpected("in a number")
		}
	}
	return nil
}

func (s *scanner) skip(c byte) bool {
	if s.at < len(s.data) && s.data[s.at] == c {
		s.at++
		return true
	}
	return false
}

func (s *scanner) digits() bool {
	start := s.at
	for s.at < len(s.data) && isDigit(s.data[s.at]) {
		s.at++
	}
	return s.at > start
}

// unquote returns the text of a string that scan has accepted. Half of a
// surrogate pair becomes the replacement character.
func unquote(raw []byte) string {
	raw = raw[1 : len(raw)-1]
	i := bytes.IndexByte(raw, '\\')
	if i < 0 {
		return string(raw)
	}
	text := make([]byte, 0, len(raw))
	for i >= 0 {
		text = append(text, raw[:i]...)
		var length int
		text, length = appendEscape(text, raw[i:])
		raw = raw[i+length:]
		i = bytes.IndexByte(raw, '\\')
	}
	return string(append(text, raw...))
}

// escapeLength is the length of an escape with four hexadecimal digits.
const escapeLength = len(`\u0000`)

// appendEscape adds the character of the escape at the start of raw and returns
// the length of the escape.
func appendEscape(text, raw []byte) ([]byte, int) {
	switch raw[1] {
	case 'u':
		r := hexRune(raw)
		if !utf16.IsSurrogate(r) {
			return utf8.AppendRune(text, r), escapeLength
		}
		pair := raw[escapeLength:]
		if len(pair) >= escapeLength && pair[0] == '\\' && pair[1] == 'u' {
			if full := utf16.DecodeRune(r, hexRune(pair)); full != utf8.RuneError {
				return utf8.AppendRune(text, full), 2 * escapeLength
			}
		}
		return utf8.AppendRune(text, utf8.RuneError), escapeLength
	case 'b':
		return append(text, '\b'), 2
	case 'f':
		return append(text, '\f'), 2
	case 'n':
		return append(text, '\n'), 2
	case 'r':
		return append(text, '\r'), 2
	case 't':
		return append(text, '\t'), 2
	default:
		return append(text, raw[1]), 2
	}
}

// hexRune returns the value of an escape with four hexadecimal digits.
func hexRune(raw []byte) rune {
	n, err := strconv.ParseUint(string(raw[2:escapeLength]), 16, 32)
	if err != nil {
		return utf8.RuneError // scan accepts no such escape
	}
	return rune(n)
}
