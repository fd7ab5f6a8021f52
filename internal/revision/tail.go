package revision

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

const (
	tailRecords = 2048    // records kept for peers that are behind
	tailBytes   = 4 << 20 // bytes of those records
)

// tail holds the most recent records without a gap, bounded in number and
// bytes.
type tail struct {
	records []oleanderspool.Record
	bytes   int
}

// add keeps a record. Of a record without a change id only the offset is kept:
// an empty record is malformed too and leads to the same state.
func (t *tail) add(record oleanderspool.Record, d Decision, limits bounds) {
	if d.Change == "" {
		record.Data = nil
	}
	record.Data = slices.Clone(record.Data)
	t.records = append(t.records, record)
	t.bytes += len(record.Data)
	n := 0
	for len(t.records)-n > limits.tailRecords || t.bytes > limits.tailBytes {
		t.bytes -= len(t.records[n].Data)
		n++
	}
	clear(t.records[:n])
	t.records = t.records[n:]
}

// clear drops all records.
func (t *tail) clear() {
	*t = tail{}
}

// after returns the records after an offset, up to a number of bytes but at
// least one. It returns false when a record after the offset is not kept;
// position is the offset of the last record.
func (t *tail) after(offset, position oleanderspool.Offset, limit int) ([]oleanderspool.Record, bool) {
	if offset >= position {
		return nil, true
	}
	first := position + 1 - oleanderspool.Offset(len(t.records))
	if offset+1 < first {
		return nil, false
	}
	rest := t.records[offset+1-first:]
	size := 0
	for i, r := range rest {
		size += len(r.Data)
		if i > 0 && size > limit {
			return slices.Clone(rest[:i]), true
		}
	}
	return slices.Clone(rest), true
}
