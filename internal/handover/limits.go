package handover

import "github.com/oleanderspool/oleanderspool"

// Limits bounds which streams move and how long a transfer may take. Durations are
// in milliseconds.
type Limits struct {
	// MinRemaining is the expected remaining duration of an answer below which a
	// stream finishes where it runs.
	MinRemaining oleanderspool.Millis
	// MinPrefillTime is the prefill duration below which a prompt is cheap to
	// prefill again, so that its stream is not moved.
	MinPrefillTime oleanderspool.Millis
	// MaxBytes limits the size of one KV cache; with 0 no stream moves. An agent
	// holds one whole cache at a time.
	MaxBytes int64
	// LinkRate is the assumed speed of a transfer in bytes per millisecond before
	// the first measurement.
	LinkRate float64
	// OfferTimeout is the time within which the export of an offered stream must
	// begin.
	OfferTimeout oleanderspool.Millis
	// TransferTimeout is the time within which a transfer must end. The sum of it
	// and SwitchTimeout must be less than the 30 s after its creation within
	// which an attempt ID may start, because the ID is created before the transfer
	// and the attempt starts after it.
	TransferTimeout oleanderspool.Millis
	// SwitchTimeout is the time after a transfer within which the stream must switch
	// to the target.
	SwitchTimeout oleanderspool.Millis
	// Backoff is the delay after a failed transfer before the same stream is
	// offered again.
	Backoff oleanderspool.Millis
	// MaxOffers limits the number of offers of one stream.
	MaxOffers int
}

// DefaultLimits are suitable for a link of about 1 Gbit/s between engines. A stream
// that ends within 15 s is not worth a transfer, which may take up to 20 s.
var DefaultLimits = Limits{
	MinRemaining:    15 * oleanderspool.Second,
	MinPrefillTime:  oleanderspool.Second,
	MaxBytes:        1 << 30,
	LinkRate:        100_000,
	OfferTimeout:    5 * oleanderspool.Second,
	TransferTimeout: 20 * oleanderspool.Second,
	SwitchTimeout:   5 * oleanderspool.Second,
	Backoff:         10 * oleanderspool.Second,
	MaxOffers:       3,
}

// Reason is the reason why a transfer failed. It is used as a metric label.
type Reason string

// The reasons. Messages and metrics use no others.
const (
	// ReasonNoServer means that no other server can take the stream.
	ReasonNoServer Reason = "no_server"
	// ReasonBusy means that the agent has another transfer in progress.
	ReasonBusy Reason = "busy"
	// ReasonNoMemory means that the target has not enough free engine memory.
	ReasonNoMemory Reason = "no_memory"
	// ReasonUnavailable means that the target is leaving or has restarted, or that
	// its engine is down or does not serve the model.
	ReasonUnavailable Reason = "unavailable"
	// ReasonVersionMismatch means that the engines serve different versions of the
	// model.
	ReasonVersionMismatch Reason = "version"
	// ReasonNotOffered means that the source has not offered the stream, or that
	// the offer has expired.
	ReasonNotOffered Reason = "not_offered"
	// ReasonExportFailed means that the source's engine did not export the cache.
	ReasonExportFailed Reason = "export"
	// ReasonTooLarge means that the cache exceeds the size limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonLinkFailed means that the connection between the processes broke or
	// stalled, or that the cache arrived damaged.
	ReasonLinkFailed Reason = "link"
	// ReasonImportFailed means that the target's engine did not import the cache.
	ReasonImportFailed Reason = "import"
	// ReasonTimeout means that a phase of the transfer exceeded its time limit.
	ReasonTimeout Reason = "time"
	// ReasonNotStarted means that the target did not run the stream after the
	// import.
	ReasonNotStarted Reason = "not_started"
	// ReasonEnded means that the stream ended before it could switch.
	ReasonEnded Reason = "ended"
)

// Reasons lists every reason.
var Reasons = []Reason{
	ReasonNoServer, ReasonBusy, ReasonNoMemory, ReasonUnavailable, ReasonVersionMismatch, ReasonNotOffered,
	ReasonExportFailed, ReasonTooLarge, ReasonLinkFailed, ReasonImportFailed, ReasonTimeout, ReasonNotStarted, ReasonEnded,
}

// ParseReason returns the reason with the given name, as received in a message. It
// returns ReasonLinkFailed for an unknown name, so that metrics have no other labels.
func ParseReason(name string) Reason {
	for _, r := range Reasons {
		if string(r) == name {
			return r
		}
	}
	return ReasonLinkFailed
}

// maxTargets limits the number of targets that are asked for one offer.
const maxTargets = 3

// MayTryAnotherTarget reports whether an entry asks another target after a failure
// with the given reason, when it has asked the given number of targets so far. It
// does so only if the target refused before the export: an export that has begun
// uses up the offer.
func MayTryAnotherTarget(r Reason, asked int) bool {
	switch r {
	case ReasonBusy, ReasonNoMemory, ReasonUnavailable, ReasonVersionMismatch:
		return asked < maxTargets
	default:
		return false
	}
}
