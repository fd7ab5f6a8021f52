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
	// Append appends all records in order, or none of them, and returns the
	// offset of the first. After an error of type [ErrUncertain] the records may
	// have been appended or may still be; after one of type [ErrUnavailable]
	// they were not and will not be.
	Append(ctx context.Context, stream Stream, data [][]byte) (Offset, error)

	// Read returns up to limit records from the given offset on. When there are
	// none it waits up to wait milliseconds for one. If the offset is before the
	// first retained record, Read starts at that record, so the caller sees the
	// gap in the offsets. head is the offset of the last record of the stream.
	// After an error the results are undefined; the read may be retried.
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

// InstanceList is the platform's list of instances, which lags behind the actual
// state.
type InstanceList interface {
	// Instances returns the list as the platform knows it. After an error the
	// last list stays valid.
	Instances(ctx context.Context) ([]InstanceState, error)
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Reserve requests permission to load the artefact of a version or adapter.
	// It returns the duration after which the caller may request again; 0 means
	// that the load may start now. An error of type [ErrUnavailable] means that
	// nothing was reserved; after one of type [ErrUncertain] a permit may have
	// been consumed.
	Reserve(ctx context.Context, artefact string) (Millis, error)
}
