package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/oleanderspool/oleanderspool"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// Event is a server-sent event, or a comment that keeps the connection alive.
type Event struct {
	Data    []byte
	Comment bool
}

// Done reports whether the event marks the end of the stream.
func (e Event) Done() bool {
	return !e.Comment && string(e.Data) == doneData
}

// EventReader reads server-sent events.
type EventReader struct {
	reader *bufio.Reader
	data   []byte // of the last event
	long   []byte // the last line, if it was longer than the reader's buffer
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(r)}
}

// Next returns the next event or comment, whose data is valid until the next
// call. It returns [io.EOF] at the end of the input, [io.ErrUnexpectedEOF] when
// the input ends within an event, and an error of type ErrInvalid for an event
// that is too long.
func (r *EventReader) Next() (Event, error) {
	data := r.data[:0]
	found := false
	for {
		line, err := r.readLine()
		if err != nil {
			if found && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		switch {
		case len(line) == 0 && found:
			r.data = data
			return Event{Data: data}, nil
		case len(line) == 0:
		case line[0] == ':' && !found:
			return Event{Data: line[1:], Comment: true}, nil
		case bytes.HasPrefix(line, []byte("data:")):
			if found {
				data = append(data, '\n')
			}
			data = append(data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
			found = true
		}
		if len(data) > maxEventBytes {
			return Event{}, errEventTooLong()
		}
	}
}

// readLine returns the next line without its line ending. It is valid until the
// next call.
func (r *EventReader) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	switch {
	case err == nil:
		line = bytes.TrimSuffix(line, []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, io.ErrUnexpectedEOF
	default:
		return nil, err
	}
}

// readLongLine returns a line longer than the reader's buffer. part is the part
// already read.
func (r *EventReader) readLongLine(part []byte) ([]byte, error) {
	r.long = append(r.long[:0], part...)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.long = append(r.long, part...)
		switch {
		case len(r.long) > maxEventBytes:
			return nil, errEventTooLong()
		case !errors.Is(err, bufio.ErrBufferFull):
			return r.long, err
		}
	}
}

func errEventTooLong() error {
	return oleanderspool.ErrInvalid.New("server-sent event is longer than %d bytes", maxEventBytes)
}
