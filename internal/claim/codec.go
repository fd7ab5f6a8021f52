package claim

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
)

// recordVersion is the version of the record format. It is incremented with
// each change that a reader must know to reach the same decisions.
const recordVersion = 1

// ErrVersion is the type of errors about a record of a newer format. A reader
// of such a record does not know the claims in it.
var ErrVersion = oleanderspool.ErrInvalid.NewSubtype("record_version")

type wireRecord struct {
	Version       int         `json:"version"`
	ExpiredBefore int64       `json:"expired_before,omitempty"`
	Claims        []wireClaim `json:"claims"`
}

type wireClaim struct {
	Account     string `json:"account"`
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"` // 16 hexadecimal digits; JSON numbers lose bits above 2^53
	Request     string `json:"request"`
	Attempt     string `json:"attempt"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Supersedes  string `json:"supersedes,omitempty"`
	BasedOn     int64  `json:"based_on"`
}

// Encode returns the JSON encoding of r. The error is of type
// [oleanderspool.ErrInvalid] and lists every fault of r.
func Encode(r Record) ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	wire := wireRecord{
		Version:       recordVersion,
		ExpiredBefore: int64(r.ExpiredBefore),
		Claims:        make([]wireClaim, len(r.Claims)),
	}
	for i, c := range r.Claims {
		wire.Claims[i] = toWire(c)
	}
	data, err := json.Marshal(wire)
	if err != nil {
		return nil, oleanderspool.ErrInvalid.Wrap(err, "encode claim record")
	}
	return data, nil
}

// Decode returns the record with the given JSON encoding. The error is of type
// [ErrVersion] for a newer format and of type [oleanderspool.ErrInvalid] for
// any other data that is not a valid record.
func Decode(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, oleanderspool.ErrInvalid.Wrap(err, "decode claim record")
	}
	if wire.Version > recordVersion {
		return Record{}, ErrVersion.New("claim record has version %d; the newest known version is %d", wire.Version, recordVersion)
	}
	if wire.Version < 1 {
		return Record{}, oleanderspool.ErrInvalid.New("claim record has no version")
	}
	return fromWireRecord(wire)
}

func fromWireRecord(wire wireRecord) (Record, error) {
	r := Record{
		ExpiredBefore: oleanderspool.Offset(wire.ExpiredBefore),
		Claims:        make([]Claim, len(wire.Claims)),
	}
	for i, w := range wire.Claims {
		c, err := fromWire(w)
		if err != nil {
			return Record{}, err
		}
		r.Claims[i] = c
	}
	return r, r.validate()
}

func toWire(c Claim) wireClaim {
	return wireClaim{
		Account:     string(c.Key.Account),
		Key:         string(c.Key.Key),
		Fingerprint: fmt.Sprintf("%016x", uint64(c.Fingerprint)),
		Request:     string(c.Request),
		Attempt:     string(c.Attempt),
		Instance:    string(c.Instance),
		Incarnation: string(c.Incarnation),
		Supersedes:  string(c.Supersedes),
		BasedOn:     int64(c.BasedOn),
	}
}

func fromWire(w wireClaim) (Claim, error) {
	fingerprint, err := strconv.ParseUint(w.Fingerprint, 16, 64)
	if err != nil {
		return Claim{}, oleanderspool.ErrInvalid.Wrap(err, "decode fingerprint of claim")
	}
	return Claim{
		Key: Key{
			Account: oleanderspool.ClientAccountID(w.Account),
			Key:     oleanderspool.IdempotencyKey(w.Key),
		},
		Fingerprint: oleanderspool.Fingerprint(fingerprint),
		Request:     oleanderspool.RequestID(w.Request),
		Attempt:     oleanderspool.AttemptID(w.Attempt),
		Instance:    oleanderspool.InstanceID(w.Instance),
		Incarnation: oleanderspool.Incarnation(w.Incarnation),
		Supersedes:  oleanderspool.AttemptID(w.Supersedes),
		BasedOn:     oleanderspool.Offset(w.BasedOn),
	}, nil
}

func (r Record) validate() error {
	var findings oleanderspool.Findings
	if r.ExpiredBefore < 0 {
		findings.Addf("expired_before", "is negative")
	}
	for i, c := range r.Claims {
		c.validate(&findings, fmt.Sprintf("claims[%d]", i))
	}
	return findings.Err()
}

func isNewerVersion(err error) bool {
	return errorx.IsOfType(err, ErrVersion)
}
