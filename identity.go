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
type Offset int64

// Revision is the offset of the last accepted configuration record. It
// never decreases.
type Revision = Offset
