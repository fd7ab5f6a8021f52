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
		// Such a read goes into the buffer of the body and not beyond its end.
		return chunk{endsChunked: bytes.HasSuffix(p, chunkedEnd)}
	}
	return chunk{bytes: len(p), lines: bytes.Count(p, []byte{'\n'}), endsChunked: bytes.HasSuffix(p, chunkedEnd)}
}

// maxBuffered is the size in bytes of the buffer in which net/http keeps bytes that it
// has read beyond a request.
const maxBuffered = 4 << 10
