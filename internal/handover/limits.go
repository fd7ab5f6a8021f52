package handover

import "github.com/oleanderspool/oleanderspool"

// Limits bounds what is moved and how long a transfer may take. Spans are in
// milliseconds.
type Limits struct {
	// MinRemaining is the expected rest of an answer below which a stream
	// finishes where it runs.
	MinRemaining oleanderspool.Millis
	// MinPrefillTime is the prefill span below which a prompt is cheap to prefill
	// again, so that its stream stays.
	MinPrefillTime oleanderspool.Millis
	// MaxBytes bounds one KV cache; 0 moves none. An agent holds one whole cache
	// at a time.
	MaxBytes int64
	// LinkRate is the assumed speed of a transfer in bytes per millisecond
	// until one was measured.
	LinkRate float64
	// OfferTimeout is the span in which the export of an offered stream begins.
	OfferTimeout oleanderspool.Millis
	// TransferTimeout is the span in which a transfer ends. With SwitchBound it
	// stays below the start window of 30 s, because the attempt ID is made
	// before the transfer and starts after it.
	TransferTimeout oleanderspool.Millis
	// SwitchTimeout is the span after a transfer in which the stream switches.
	SwitchTimeout oleanderspool.Millis
	// Backoff is the span after a failed transfer before the same stream is
	// offered again.
	Backoff oleanderspool.Millis
	// MaxOffers bounds the offers of one stream.
	MaxOffers int
}

// DefaultLimits suit a link of about 1 Gbit/s between engines. A stream that
// ends within 15 s is not worth a transfer, which may take up to 20 s.
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

// Reason tells why a transfer failed. It is a metric label.
type Reason string

// The reasons, a closed list.
const (
	// ReasonNoServer says that no other server can take the stream.
	ReasonNoServer Reason = "no_server"
	// ReasonBusy says that the agent is in another transfer.
	ReasonBusy Reason = "busy"
	// ReasonNoMemory says that the target has no free engine memory.
	ReasonNoMemory Reason = "no_memory"
	// ReasonUnavailable says that the target leaves, restarted, or its engine
	// is down or does not serve the model.
	ReasonUnavailable Reason = "unavailable"
	// ReasonVersionMismatch says that the engines serve different versions of the model.
	ReasonVersionMismatch Reason = "version"
	// ReasonNotOffered says that the source has not offered the stream, or the
	// offer has lapsed.
	ReasonNotOffered Reason = "not_offered"
	// ReasonExportFailed says that the source's engine did not export the cache.
	ReasonExportFailed Reason = "export"
	// ReasonTooLarge says that the cache exceeds the limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonLinkFailed says that the connection between the processes broke, went
	// silent or damaged the cache.
	ReasonLinkFailed Reason = "link"
	// ReasonImportFailed says that the target's engine did not take the cache.
	ReasonImportFailed Reason = "import"
	// ReasonTimeout says that a bound of the transfer passed.
	ReasonTimeout Reason = "time"
	// ReasonNotStarted says that the target did not run the stream after the
	// import.
	ReasonNotStarted Reason = "not_started"
	// ReasonEnded says that the stream ended before it could switch.
	ReasonEnded Reason = "ended"
)

// Reasons lists every reason.
var Reasons = []Reason{
	ReasonNoServer, ReasonBusy, ReasonNoMemory, ReasonUnavailable, ReasonVersionMismatch, ReasonNotOffered,
	ReasonExportFailed, ReasonTooLarge, ReasonLinkFailed, ReasonImportFailed, ReasonTimeout, ReasonNotStarted, ReasonEnded,
}

// ParseReason returns the reason of a message. An unknown one counts as a
// fault of the link.
func ParseReason(name string) Reason {
	for _, r := range Reasons {
		if string(r) == name {
			return r
		}
	}
	return ReasonLinkFailed
}

// maxTargets bounds the servers that are asked for one offer.
const maxTargets = 3

// MayTryAnotherTarget reports whether an entry asks another target after a failure, given
// the number of targets asked so far. Only refusals from before the export
// qualify: an export that has begun uses up the offer.
func MayTryAnotherTarget(r Reason, asked int) bool {
	switch r {
	case ReasonBusy, ReasonNoMemory, ReasonUnavailable, ReasonVersionMismatch:
		return asked < maxTargets
	default:
		return false
	}
}
