package oleanderspool

import "context"

// Stream names a stream of the platform's log.
type Stream string

// The streams that the system uses.
const (
	StreamConfiguration         Stream = "configuration"
	StreamConfigurationSnapshot Stream = "configuration_snapshot"
	StreamClaim                 Stream = "claim"
	StreamSuspect               Stream = "suspect"
)

// Record is a record of a stream.
type Record struct {
	Offset Offset
	Data   []byte
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends records in order, all or none, and returns the offset of
	// the first. After an error of type [ErrUncertain] the records may have been appended
	// or may still be; after one of type [ErrUnavailable] they were not and will not be.
	Append(ctx context.Context, stream Stream, data [][]byte) (Offset, error)

	// Read returns up to limit records from the given offset on. When none is
	// there it waits up to wait milliseconds. An offset before the first kept
	// record starts at the first kept one, so the caller sees the gap in the
	// offsets. head is the offset of the last record of the stream. After an
	// error nothing is known; the read may be repeated.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait Millis) (records []Record, head Offset, err error)
}

// InstanceState is the platform's view of an instance.
type InstanceState struct {
	Instance   InstanceID
	DataCentre DataCentreID
	Address    string // IP number and port of the system's process
	Role       string // "entry", "model" or "service"
	Leaving    bool
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances returns the list as the platform knows it. After an error the
	// last list stays valid.
	Instances(ctx context.Context) ([]InstanceState, error)
}

// WeightStore is the platform's rate-limited store of weights.
type WeightStore interface {
	// Reserve asks to start loading an artefact of the given version or
	// adapter. It returns how long the caller must wait before it asks again;
	// 0 means that the load may start now. An error of type [ErrUnavailable]
	// says that nothing was reserved; after one of type [ErrUncertain] a permit
	// may have been used up.
	Reserve(ctx context.Context, artefact string) (Millis, error)
}
