package revision

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// Snapshot is an encoded state. Equal states have equal bytes.
type Snapshot struct {
	Position oleanderspool.Offset   // offset of the last record that it covers
	Revision oleanderspool.Revision // offset of the last accepted record
	Data     []byte                 // must not be modified
}

// snapshotHeader is the second line of an encoded snapshot, which consists of a
// line with the checksum of the rest, a line with the header, and the
// configuration in its printed format with object revisions. The checksum detects
// a damaged snapshot without parsing the configuration; a damaged snapshot must
// not count as written and so postpone the next one.
type snapshotHeader struct {
	Format    int                `json:"format"`
	Position  int64              `json:"position"`
	Revision  int64              `json:"revision"`
	Decisions []snapshotDecision `json:"decisions"`
}

type snapshotDecision struct {
	Change   string `json:"change"`
	Offset   int64  `json:"offset"`
	Digest   string `json:"digest"` // in hexadecimal
	Accepted bool   `json:"accepted"`
}

// Snapshot encodes the state. It prints the whole configuration, which is most
// of its cost.
func (s *State) Snapshot() Snapshot {
	header := snapshotHeader{
		Format:    snapshotFormat,
		Position:  int64(s.position),
		Revision:  int64(s.revision),
		Decisions: make([]snapshotDecision, len(s.decisions.byOffset)),
	}
	for i, d := range s.decisions.byOffset {
		header.Decisions[i] = snapshotDecision{
			Change:   d.Change,
			Offset:   int64(d.Offset),
			Digest:   strconv.FormatUint(d.Digest, 16),
			Accepted: d.Verdict == Accepted,
		}
	}
	line, _ := json.Marshal(header) // cannot fail: only strings, integers and booleans
	body := append(append(line, '\n'), s.current.Print()...)
	return Snapshot{Position: s.position, Revision: s.revision, Data: prependChecksum(body)}
}

// prependChecksum adds the line with the checksum to the rest of a snapshot.
func prependChecksum(body []byte) []byte {
	return append([]byte(checksumText(body)+"\n"), body...)
}

func checksumText(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// ParseSnapshot verifies the checksum of an encoded snapshot and returns its position
// and revision. It returns an error of type [oleanderspool.ErrInvalid] if the
// snapshot is damaged or its header is malformed. It does not parse the
// configuration, which [State.Restore] does.
func ParseSnapshot(data []byte) (Snapshot, error) {
	header, _, err := readHeader(data)
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{
		Position: oleanderspool.Offset(header.Position),
		Revision: oleanderspool.Revision(header.Revision),
		Data:     data,
	}, nil
}

func readHeader(data []byte) (snapshotHeader, []byte, error) {
	var header snapshotHeader
	hash, body, _ := bytes.Cut(data, []byte{'\n'})
	if string(hash) != checksumText(body) {
		return header, nil, oleanderspool.ErrInvalid.New("snapshot: damaged, its hash differs")
	}
	line, rest, _ := bytes.Cut(body, []byte{'\n'})
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&header); err != nil {
		return header, nil, oleanderspool.ErrInvalid.New("snapshot: %v", err)
	}
	if header.Format != snapshotFormat {
		return header, nil, oleanderspool.ErrInvalid.New("snapshot: format %d is not supported, only %d", header.Format, snapshotFormat)
	}
	if header.Revision < 0 || header.Position < header.Revision {
		return header, nil, oleanderspool.ErrInvalid.New("snapshot: revision %d and position %d contradict each other", header.Revision, header.Position)
	}
	return header, rest, nil
}

// Restore replaces the state with a newer snapshot. It returns false if the
// snapshot is not newer. After an error, which is of type
// [oleanderspool.ErrInvalid], the state is unchanged.
func (s *State) Restore(snapshot Snapshot) (bool, error) {
	header, rest, err := readHeader(snapshot.Data)
	if err != nil {
		return false, err
	}
	if oleanderspool.Offset(header.Position) <= s.position {
		return false, nil
	}
	if oleanderspool.Revision(header.Revision) < s.revision {
		return false, oleanderspool.ErrInvalid.New("snapshot: position %d is newer, but revision %d is older than %d", header.Position, header.Revision, s.revision)
	}
	restored, err := readDecisions(header)
	if err != nil {
		return false, err
	}
	current, err := configuration.Parse("", rest)
	if err != nil {
		return false, err
	}
	s.current = current
	s.position = oleanderspool.Offset(header.Position)
	s.revision = oleanderspool.Revision(header.Revision)
	s.decisions = restored
	s.tail.clear()
	return true, nil
}

func readDecisions(header snapshotHeader) (decisions, error) {
	var result decisions
	last := int64(0)
	for _, d := range header.Decisions {
		digest, err := strconv.ParseUint(d.Digest, 16, 64)
		if err != nil || d.Offset <= last || d.Offset > header.Position {
			return decisions{}, oleanderspool.ErrInvalid.New("snapshot: decision about %q is malformed or out of order", d.Change)
		}
		last = d.Offset
		verdict := Rejected
		if d.Accepted {
			verdict = Accepted
		}
		result.add(Decision{Change: d.Change, Digest: digest, Verdict: verdict, Offset: oleanderspool.Offset(d.Offset)})
	}
	return result, nil
}

// RestoreNewest restores the newest valid snapshot among records of the
// snapshot stream, which may hold several snapshots, out of order or malformed.
// It returns false if none is newer than the state, and findings about the
// malformed snapshots that it tried.
func (s *State) RestoreNewest(records []oleanderspool.Record) (bool, []oleanderspool.Finding) {
	var findings oleanderspool.Findings
	var snapshots []Snapshot
	for _, r := range records {
		snapshot, err := ParseSnapshot(r.Data)
		if err != nil {
			findings.Addf("", "snapshot record %d: %v", r.Offset, err)
			continue
		}
		snapshots = append(snapshots, snapshot)
	}
	slices.SortStableFunc(snapshots, func(a, b Snapshot) int { return int(b.Position - a.Position) })
	for _, snapshot := range snapshots {
		restored, err := s.Restore(snapshot)
		if err == nil {
			return restored, findings.All()
		}
		findings.Addf("", "snapshot at position %d: %v", snapshot.Position, err)
	}
	return false, findings.All()
}
