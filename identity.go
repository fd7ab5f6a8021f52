package oleanderspool

// RequestID identifies a request of a caller within the fleet.
type RequestID string

// AttemptID identifies one attempt to run a request on one backend server.
type AttemptID string

// InstanceID identifies an instance of the platform.
type InstanceID string

// DataCentreID identifies a data centre.
type DataCentreID string

// ClientAccountID identifies a client account.
type ClientAccountID string

// ModelID identifies a model as callers name it.
type ModelID string

// VersionID identifies a version of a model's weights.
type VersionID string

// AdapterID identifies an adapter of a model.
type AdapterID string

// RouteID identifies a route to a plain service.
type RouteID string

// PriorityID identifies a priority class.
type PriorityID string

// ServerSetID identifies a set of backend servers.
type ServerSetID string

// IdempotencyKey is the key that a caller assigns to a request that must run at
// most once. It is unique within a client account.
type IdempotencyKey string

// Fingerprint identifies requests with the same client account, model or
// route, and body.
type Fingerprint uint64

// PromptPart identifies the content of a part of a prompt. Equal parts of different
// requests have the same identifier.
type PromptPart string

// Incarnation identifies one run of an agent process. A new process has a new
// incarnation, so it does not accept messages addressed to the previous one.
type Incarnation string

// Offset is the position of a record in a stream of the platform's log.
// Offsets start at 1; 0 is before the first record.
//
// A log that is restored from an older copy gives indexes out again, in a new era. An
// offset holds both, the era in its upper bits, so that each record of an era comes after
// all of the eras before. Without eras it equals the index.
type Offset int64

// offsetIndexBits is the number of bits of the index.
const offsetIndexBits = 44

// OffsetOf returns the offset of the record with an index in an era. Both are limited to
// what an offset holds.
func OffsetOf(era Era, index int64) Offset {
	const maxIndex = 1<<offsetIndexBits - 1
	return Offset(min(max(era, 0), MaxEra))<<offsetIndexBits | Offset(min(max(index, 0), maxIndex))
}

// Era returns the era of the offset.
func (o Offset) Era() Era { return Era(o >> offsetIndexBits) }

// Index returns the index of the record in its era.
func (o Offset) Index() int64 { return int64(o & (1<<offsetIndexBits - 1)) }

// Era counts how often a log has been restored from an older copy.
type Era int64

// MaxEra is the largest era.
const MaxEra Era = 1<<(63-offsetIndexBits) - 1

// Revision is the offset of the last accepted configuration record. It
// never decreases.
type Revision = Offset
