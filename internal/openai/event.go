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
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(r)}
}

// Next returns the next event or comment. It returns [io.EOF] at the end of the
// input, [io.ErrUnexpectedEOF] when the input ends within an event, and an error
// of type ErrInvalid for an event that is too long.
func (r *EventReader) Next() (Event, error) {
	var data []byte
	found := false
	for {
		line, err := r.line()
		if err != nil {
			if found && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		switch {
		case len(line) == 0 && found:
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

// line returns the next line without its end.
func (r *EventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLong()
		}
		switch {
		case err == nil:
			line = bytes.TrimSuffix(line, []byte("\n"))
			return bytes.TrimSuffix(line, []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(line) > 0:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}

func errEventTooLong() error {
	return oleanderspool.ErrInvalid.New("server-sent event is longer than %d bytes", maxEventBytes)
}
