package once

import (
	"io"

	"github.com/oleanderspool/oleanderspool"
)

// ReadBody reads a response body of at most limit bytes. Errors are of type
// ErrUncertain, because the peer has already received the request, or of its
// subtype ErrTooLarge.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, oleanderspool.ErrUncertain.Wrap(err, "response was truncated after %d bytes", len(data))
	}
	if int64(len(data)) > limit {
		return nil, oleanderspool.ErrTooLarge.New("response is longer than %d bytes", limit)
	}
	return data, nil
}
