package clientconn

import "bytes"

// scanner counts the bytes and lines of a header and finds its end.
type scanner struct {
	bytes, lines int
	lineBytes    int // bytes of the unfinished line, without CR
	ended        bool
}

// read reads bytes and returns how many of them follow the header.
func (s *scanner) read(p []byte) int {
	for i, b := range p {
		if s.ended {
			return len(p) - i
		}
		s.bytes++
		switch b {
		case '\n':
			// Blank lines before the request are skipped.
			s.ended = s.lineBytes == 0 && s.lines > 0
			if s.lineBytes > 0 {
				s.lines++
			}
			s.lineBytes = 0
		case '\r':
		default:
			s.lineBytes++
		}
	}
	return 0
}

// chunkedEnd is the end of a chunked body without a trailer.
var chunkedEnd = []byte("0\r\n\r\n")

func describe(p []byte) chunk {
	if len(p) > maxBuffered {
		return chunk{} // it goes into the buffer of the body and not beyond its end
	}
	return chunk{bytes: len(p), lines: bytes.Count(p, []byte{'\n'})}
}

// ending holds the last bytes that were read, however they were cut.
type ending struct {
	bytes []byte
}

func (e *ending) add(p []byte) {
	p = p[max(0, len(p)-len(chunkedEnd)):]
	e.bytes = append(e.bytes, p...)
	e.bytes = append(e.bytes[:0], e.bytes[max(0, len(e.bytes)-len(chunkedEnd)):]...)
}

// isChunked reports whether the bytes end as a chunked body does.
func (e *ending) isChunked() bool { return bytes.Equal(e.bytes, chunkedEnd) }

// maxBuffered is the size in bytes of the buffer in which net/http keeps bytes that it
// has read beyond a request.
const maxBuffered = 4 << 10
