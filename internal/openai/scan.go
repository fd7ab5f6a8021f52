package openai

import (
	"bytes"
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// Limits of a JSON text. They keep the memory for parsing a body below a small
// multiple of what an ordinary body needs.
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

// node is a value of a parsed JSON text. The nodes of a text are stored in one
// slice in the order of the text, each before its elements or fields.
type node struct {
	kind     kind
	start    int // offset in the text
	end      int // offset after the value
	keyStart int // offset of the key with its quotes, for a field of an object
	keyEnd   int
	next     int // index of the node after this one and its descendants
	count    int // number of elements or fields
}

// syntaxError is an error in a JSON text.
type syntaxError struct {
	offset  int
	message string
}

// Error returns the message.
func (e *syntaxError) Error() string {
	return e.message
}

// scanner parses a JSON text in one pass. encoding/json needs one pass for each
// nesting level of a chat plus one to validate each. That takes 12 ms for a
// prompt of 100,000 tokens, which is more than entry and agent may add to the
// time to first token.
type scanner struct {
	data     []byte
	position int
	nodes    []node
}

// scan returns the nodes of a JSON text. The first one is the root.
func scan(data []byte) ([]node, error) {
	s := &scanner{data: data}
	if err := s.scanAll(); err != nil {
		return nil, err
	}
	return s.nodes, nil
}

// scanAll parses the text as one value.
func (s *scanner) scanAll() error {
	if err := s.value(0, 0, 0); err != nil {
		return err
	}
	s.skipSpace()
	if s.position < len(s.data) {
		return s.errorf("text after the end of the value")
	}
	return nil
}

func (s *scanner) errorf(format string, args ...any) error {
	return &syntaxError{offset: s.position, message: fmt.Sprintf(format, args...)}
}

// unexpected returns an error about the character at the current position.
func (s *scanner) unexpected(where string) error {
	if s.position >= len(s.data) {
		return s.errorf("unexpected end %s", where)
	}
	return s.errorf("unexpected character %q %s", s.data[s.position], where)
}

func (s *scanner) skipSpace() {
	for s.position < len(s.data) {
		switch s.data[s.position] {
		case ' ', '\t', '\r', '\n':
			s.position++
		default:
			return
		}
	}
}

// peek skips white space and returns the next character, or 0 at the end.
func (s *scanner) peek() byte {
	s.skipSpace()
	if s.position == len(s.data) {
		return 0
	}
	return s.data[s.position]
}

// value parses a value. keyStart and keyEnd are the offsets of its key, if it is
// a field.
func (s *scanner) value(depth, keyStart, keyEnd int) error {
	if depth > maxDepth {
		return s.errorf("values are nested deeper than %d", maxDepth)
	}
	if len(s.nodes) == maxValues {
		return s.errorf("more than %d values", maxValues)
	}
	first := s.peek()
	index := len(s.nodes)
	s.nodes = append(s.nodes, node{start: s.position, keyStart: keyStart, keyEnd: keyEnd})
	k, count, err := s.scanContent(first, depth)
	if err != nil {
		return err
	}
	n := &s.nodes[index]
	n.kind, n.count, n.end, n.next = k, count, s.position, len(s.nodes)
	return nil
}

// scanContent parses a value whose first character is first.
func (s *scanner) scanContent(first byte, depth int) (k kind, count int, err error) {
	switch first {
	case '{':
		count, err = s.object(depth)
		return kindObject, count, err
	case '[':
		count, err = s.array(depth)
		return kindArray, count, err
	case '"':
		return kindString, 0, s.scanString()
	case 't':
		return kindBool, 0, s.literal("true")
	case 'f':
		return kindBool, 0, s.literal("false")
	case 'n':
		return kindNull, 0, s.literal("null")
	default:
		return kindNumber, 0, s.number()
	}
}

func (s *scanner) literal(word string) error {
	if !bytes.HasPrefix(s.data[s.position:], []byte(word)) {
		return s.unexpected("in a value")
	}
	s.position += len(word)
	return nil
}

func (s *scanner) object(depth int) (int, error) {
	s.position++
	if s.peek() == '}' {
		s.position++
		return 0, nil
	}
	for count := 1; ; count++ {
		if s.peek() != '"' {
			return 0, s.unexpected("instead of a key")
		}
		keyStart := s.position
		if err := s.scanString(); err != nil {
			return 0, err
		}
		keyEnd := s.position
		if s.peek() != ':' {
			return 0, s.unexpected("after a key")
		}
		s.position++
		if err := s.value(depth+1, keyStart, keyEnd); err != nil {
			return 0, err
		}
		if done, err := s.separator('}'); done || err != nil {
			return count, err
		}
	}
}

func (s *scanner) array(depth int) (int, error) {
	s.position++
	if s.peek() == ']' {
		s.position++
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

// separator parses a comma, or the given closing bracket.
func (s *scanner) separator(end byte) (done bool, err error) {
	switch s.peek() {
	case ',':
		s.position++
		return false, nil
	case end:
		s.position++
		return true, nil
	default:
		return false, s.unexpected("after a value")
	}
}

// scanString parses a string.
func (s *scanner) scanString() error {
	s.position++
	for {
		s.position += plainLength(s.data[s.position:])
		switch {
		case s.position == len(s.data) || s.data[s.position] < ' ':
			return s.unexpected("in a string")
		case s.data[s.position] == '"':
			s.position++
			return nil
		}
		if err := s.skipEscape(); err != nil {
			return err
		}
	}
}

// special marks the bytes that cannot stand unescaped in a JSON string.
var special = func() (table [256]bool) {
	for c := range byte(' ') {
		table[c] = true
	}
	table['"'], table['\\'] = true, true
	return table
}()

// plainLength returns the length of the run of plain characters at the start of
// data, which contains no special byte. Such runs make up most of a body.
func plainLength(data []byte) int {
	for i, c := range data {
		if special[c] {
			return i
		}
	}
	return len(data)
}

func (s *scanner) skipEscape() error {
	s.position++
	if s.position >= len(s.data) {
		return s.unexpected("in an escape")
	}
	if s.data[s.position] != 'u' {
		if bytes.IndexByte([]byte(`"\/bfnrt`), s.data[s.position]) < 0 {
			return s.unexpected("in an escape")
		}
		s.position++
		return nil
	}
	for range 4 {
		s.position++
		if s.position >= len(s.data) || !isHex(s.data[s.position]) {
			return s.unexpected("in an escape")
		}
	}
	s.position++
	return nil
}

func isHex(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func (s *scanner) number() error {
	s.skipByte('-')
	if !s.skipByte('0') && !s.skipDigits() {
		return s.unexpected("in a value")
	}
	if s.skipByte('.') && !s.skipDigits() {
		return s.unexpected("in a number")
	}
	if s.skipByte('e') || s.skipByte('E') {
		if !s.skipByte('+') {
			s.skipByte('-')
		}
		if !s.skipDigits() {
			return s.unexpected("in a number")
		}
	}
	return nil
}

func (s *scanner) skipByte(c byte) bool {
	if s.position < len(s.data) && s.data[s.position] == c {
		s.position++
		return true
	}
	return false
}

func (s *scanner) skipDigits() bool {
	start := s.position
	for s.position < len(s.data) && isDigit(s.data[s.position]) {
		s.position++
	}
	return s.position > start
}

// unquote returns the text of a string that scan has accepted. An unpaired
// surrogate becomes the replacement character U+FFFD.
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

// appendEscape appends the character of the escape at the start of raw to text
// and returns text and the length of the escape.
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
