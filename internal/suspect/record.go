package suspect

import (
	"encoding/json"
	"strconv"

	"github.com/oleanderspool/oleanderspool"
)

// CrashID identifies one crash of a backend server, for example by instance,
// agent incarnation and run of the engine. All reporters of a crash should use
// the same id, so that a late report is recognised.
type CrashID string

// Outcome is the result of a trial.
type Outcome string

// The outcomes of a trial.
const (
	// OutcomeFinished means that the request finished, so it is not the cause.
	OutcomeFinished Outcome = "finished"
	// OutcomeCrashed means that the server crashed, so the request is the
	// cause.
	OutcomeCrashed Outcome = "crashed"
	// OutcomeInconclusive means that the trial did not start, or ended without
	// showing whether the request is the cause. Another trial may follow.
	OutcomeInconclusive Outcome = "ended"
)

// recordKind is the kind of a record in the stream "suspect".
type recordKind string

const (
	kindSuspected recordKind = "suspected"
	kindTrial     recordKind = "trial"
	kindResult    recordKind = "result"
)

// record is a record of the stream. Fields that its kind does not use are
// empty; the comments name the kinds that use a field.
type record struct {
	kind         recordKind
	crash        CrashID                     // suspected
	fingerprints []oleanderspool.Fingerprint // suspected
	fingerprint  oleanderspool.Fingerprint   // trial, result
	trial        oleanderspool.AttemptID     // trial, result
	claim        claim                       // trial
	outcome      Outcome                     // result
}

// claim holds the fields of a trial record besides its identity.
type claim struct {
	entry       string // entry process that wants to run the trial
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
	superseded  oleanderspool.AttemptID // trial that exceeded its timeout
	expected    oleanderspool.Millis    // expected duration of the trial
	timeout     oleanderspool.Millis    // after which another trial may follow
}

// wireRecord is the JSON form of a record. Fingerprints are hexadecimal
// strings, because numbers in JSON lose precision above 2^53.
type wireRecord struct {
	Kind         recordKind `json:"kind"`
	Crash        string     `json:"crash,omitempty"`
	Fingerprints []string   `json:"fingerprints,omitempty"`
	Fingerprint  string     `json:"fingerprint,omitempty"`
	Trial        string     `json:"trial,omitempty"`
	Entry        string     `json:"entry,omitempty"`
	Instance     string     `json:"instance,omitempty"`
	Incarnation  string     `json:"incarnation,omitempty"`
	Superseded   string     `json:"superseded,omitempty"`
	ExpectedMS   int64      `json:"expected_ms,omitempty"`
	TimeoutMS    int64      `json:"bound_ms,omitempty"`
	Outcome      Outcome    `json:"outcome,omitempty"`
}

const fingerprintBase = 16

func encode(r record) []byte {
	w := wireRecord{
		Kind: r.kind, Crash: string(r.crash), Trial: string(r.trial), Entry: r.claim.entry,
		Instance: string(r.claim.instance), Incarnation: string(r.claim.incarnation),
		Superseded: string(r.claim.superseded), ExpectedMS: int64(r.claim.expected),
		TimeoutMS: int64(r.claim.timeout), Outcome: r.outcome,
	}
	for _, f := range r.fingerprints {
		w.Fingerprints = append(w.Fingerprints, formatFingerprint(f))
	}
	if r.kind != kindSuspected {
		w.Fingerprint = formatFingerprint(r.fingerprint)
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic(err) // strings and integers always marshal
	}
	return data
}

// decode returns the record in data, or an error of type
// [oleanderspool.ErrInvalid].
func decode(data []byte) (record, error) {
	var w wireRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return record{}, oleanderspool.ErrInvalid.Wrap(err, "decode suspect record")
	}
	r := record{
		kind: w.Kind, crash: CrashID(w.Crash), trial: oleanderspool.AttemptID(w.Trial), outcome: w.Outcome,
		claim: claim{
			entry: w.Entry, instance: oleanderspool.InstanceID(w.Instance),
			incarnation: oleanderspool.Incarnation(w.Incarnation),
			superseded:  oleanderspool.AttemptID(w.Superseded),
			expected:    oleanderspool.Millis(w.ExpectedMS), timeout: oleanderspool.Millis(w.TimeoutMS),
		},
	}
	for _, text := range w.Fingerprints {
		f, err := parseFingerprint(text)
		if err != nil {
			return record{}, err
		}
		r.fingerprints = append(r.fingerprints, f)
	}
	if r.kind == kindSuspected {
		return r, nil
	}
	f, err := parseFingerprint(w.Fingerprint)
	r.fingerprint = f
	return r, err
}

func formatFingerprint(f oleanderspool.Fingerprint) string {
	return strconv.FormatUint(uint64(f), fingerprintBase)
}

func parseFingerprint(text string) (oleanderspool.Fingerprint, error) {
	f, err := strconv.ParseUint(text, fingerprintBase, 64)
	if err != nil {
		return 0, oleanderspool.ErrInvalid.Wrap(err, "parse fingerprint of a suspect record")
	}
	return oleanderspool.Fingerprint(f), nil
}
