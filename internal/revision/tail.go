package revision

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

const (
	tailRecords = 2048    // records kept for peers that lag behind
	tailBytes   = 4 << 20 // bytes of these records
)

// tail holds the most recent records without a gap, limited in number and
// bytes.
type tail struct {
	records []oleanderspool.Record
	bytes   int
}

// add appends a record. For a malformed record, which has no change ID, it keeps
// only the offset: an empty record is malformed too and leads to the same state.
func (t *tail) add(record oleanderspool.Record, d Decision, limits memoryLimits) {
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

// after returns the records after an offset, at most limit bytes but at least
// one record. It returns false if a record after the offset is no longer kept.
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
