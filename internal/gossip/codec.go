package gossip

import (
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// Field numbers of a message.
const (
	fieldRunID protowire.Number = iota + 1
	_                           // reserved: the instance name that earlier versions sent
	fieldComplete
	fieldLeaving
	fieldTask
	fieldEndedTask
	fieldCrash
	fieldSuspicion
	_ // reserved: the addresses that earlier versions sent
	fieldRefused
	fieldAnsweredRequest // sent by earlier versions, without the time since the answer
	fieldSentAt
	fieldRegistryUpdate
	fieldSequence
	fieldEntry
	fieldAnswer
	fieldQuarantined
)

// Field numbers of an entry.
const (
	fieldEntryInstance protowire.Number = iota + 1
	fieldEntryAddress
	fieldEntryDataCentre
	fieldEntryCapacity
)

// Field numbers of a task.
const (
	fieldTaskID protowire.Number = iota + 1
	fieldTaskServer
	fieldTaskContextTokens
	fieldTaskMemoryTokens
	fieldTaskOutputTokens
	fieldTaskPrefill
	fieldTaskMaxPassPrefill
	fieldTaskValue
	fieldTaskTTFTGoal
	fieldTaskInterTokenGoal
	fieldTaskAge
	fieldTaskDecoding
	_ // reserved: an instant that earlier versions sent
	fieldTaskSharded
)

// Field numbers of a registry update.
const (
	fieldUpdateFrom protowire.Number = iota + 1
	fieldUpdateNext
	fieldUpdateAge
	fieldUpdateChange
	fieldUpdateReachable
)

// Field numbers of a change of the registry.
const (
	fieldChangeOffset protowire.Number = iota + 1
	fieldChangeInstance
	fieldChangeService
	fieldChangeAddress
	fieldChangeDataCentre
	fieldChangeStarted
	fieldChangeSlots
	fieldChangeDraining
	fieldChangeColdRemaining
)

// Field numbers of a crash, a suspicion, an answer and a quarantined part.
const (
	fieldEventServer protowire.Number = iota + 1
	fieldEventFingerprint
	fieldEventDuration
	fieldEventStarted
	fieldEventBeginning
	fieldEventPart
	fieldEventIdle
	fieldEventAddress
)

// encoder appends encoded fields. It omits numbers, times and flags that are zero.
type encoder struct {
	data []byte
}

func (e *encoder) number(n protowire.Number, value uint64) {
	if value == 0 {
		return
	}
	e.data = protowire.AppendTag(e.data, n, protowire.VarintType)
	e.data = protowire.AppendVarint(e.data, value)
}

// millis appends a duration or an instant in ms; a negative one counts as zero.
func (e *encoder) millis(n protowire.Number, value oleanderspool.Millis) {
	e.number(n, uint64(max(0, value)))
}

func (e *encoder) float(n protowire.Number, value float64) {
	if value == 0 {
		return
	}
	e.data = protowire.AppendTag(e.data, n, protowire.Fixed32Type)
	e.data = protowire.AppendFixed32(e.data, math.Float32bits(float32(value)))
}

func (e *encoder) fixed(n protowire.Number, value uint64) {
	e.data = protowire.AppendTag(e.data, n, protowire.Fixed64Type)
	e.data = protowire.AppendFixed64(e.data, value)
}

func (e *encoder) flag(n protowire.Number, value bool) {
	if value {
		e.number(n, 1)
	}
}

func (e *encoder) text(n protowire.Number, value string) {
	e.data = protowire.AppendTag(e.data, n, protowire.BytesType)
	e.data = protowire.AppendString(e.data, value)
}

func (e *encoder) nested(n protowire.Number, build func(*encoder)) {
	var inner encoder
	build(&inner)
	e.data = protowire.AppendTag(e.data, n, protowire.BytesType)
	e.data = protowire.AppendBytes(e.data, inner.data)
}

// Encode encodes a message.
func Encode(m Message) []byte {
	var e encoder
	e.fixed(fieldRunID, m.RunID)
	e.number(fieldSequence, m.Sequence)
	if m.Endpoint != (Endpoint{}) {
		e.nested(fieldEntry, func(e *encoder) { encodeEntry(e, m.Endpoint) })
	}
	e.flag(fieldComplete, m.Complete)
	e.flag(fieldLeaving, m.Leaving)
	for _, t := range m.Tasks {
		e.nested(fieldTask, func(e *encoder) { encodeTask(e, t) })
	}
	for _, id := range m.EndedTasks {
		e.fixed(fieldEndedTask, uint64(id))
	}
	for _, c := range m.Crashes {
		e.nested(fieldCrash, func(e *encoder) {
			e.text(fieldEventServer, string(c.Server.Instance))
			e.fixed(fieldEventFingerprint, uint64(c.Request))
			e.millis(fieldEventDuration, c.Age)
			e.text(fieldEventAddress, c.Server.Address)
			e.number(fieldEventStarted, uint64(max(0, c.Server.Started)))
			e.flag(fieldEventBeginning, c.Beginning)
			for _, f := range c.Parts {
				e.fixed(fieldEventPart, uint64(f))
			}
		})
	}
	for _, s := range m.Suspicions {
		e.nested(fieldSuspicion, func(e *encoder) {
			e.text(fieldEventServer, string(s.Server))
			e.millis(fieldEventDuration, s.Remaining)
		})
	}
	for _, f := range m.Refused {
		e.fixed(fieldRefused, uint64(f))
	}
	for _, a := range m.Answered {
		e.nested(fieldAnswer, func(e *encoder) {
			e.fixed(fieldEventFingerprint, uint64(a.Fingerprint))
			e.millis(fieldEventDuration, a.Age)
		})
	}
	for _, q := range m.Quarantined {
		e.nested(fieldQuarantined, func(e *encoder) {
			e.fixed(fieldEventFingerprint, uint64(q.Fingerprint))
			e.millis(fieldEventDuration, q.Age)
			e.millis(fieldEventIdle, q.Idle)
		})
	}
	e.millis(fieldSentAt, m.SentAt)
	for _, u := range m.RegistryUpdates {
		e.nested(fieldRegistryUpdate, func(e *encoder) { encodeRegistryUpdate(e, u) })
	}
	return e.data
}

func encodeEntry(e *encoder, n Endpoint) {
	e.text(fieldEntryInstance, string(n.Instance))
	e.text(fieldEntryAddress, n.Address)
	e.text(fieldEntryDataCentre, string(n.DataCentre))
	e.number(fieldEntryCapacity, uint64(max(0, n.Capacity)))
}

func encodeTask(e *encoder, t Task) {
	e.fixed(fieldTaskID, uint64(t.ID))
	e.text(fieldTaskServer, string(t.Server))
	e.number(fieldTaskContextTokens, uint64(max(0, t.ContextTokens)))
	e.number(fieldTaskMemoryTokens, uint64(max(0, t.MemoryTokens)))
	e.number(fieldTaskOutputTokens, uint64(max(0, t.OutputTokens)))
	e.float(fieldTaskPrefill, t.PrefillMillis)
	e.float(fieldTaskMaxPassPrefill, t.MaxPassPrefillMillis)
	e.float(fieldTaskValue, t.Value)
	e.millis(fieldTaskTTFTGoal, t.TTFTGoal)
	e.millis(fieldTaskInterTokenGoal, t.InterTokenGoal)
	e.millis(fieldTaskAge, t.Age)
	e.flag(fieldTaskDecoding, t.Decoding)
	e.flag(fieldTaskSharded, t.Sharded)
}

func encodeRegistryUpdate(e *encoder, u directory.RegistryUpdate) {
	e.number(fieldUpdateFrom, uint64(max(0, u.From)))
	e.number(fieldUpdateNext, uint64(max(0, u.Next)))
	e.millis(fieldUpdateAge, u.Age)
	e.millis(fieldUpdateReachable, u.Reachable)
	for _, c := range u.Changes {
		e.nested(fieldUpdateChange, func(e *encoder) {
			e.number(fieldChangeOffset, uint64(max(0, c.Offset)))
			e.text(fieldChangeInstance, string(c.Instance))
			if s := c.Server; s != nil {
				e.text(fieldChangeService, s.Service)
				e.text(fieldChangeAddress, s.Address)
				e.text(fieldChangeDataCentre, string(s.DataCentre))
				e.number(fieldChangeStarted, uint64(max(0, s.Started)))
				e.number(fieldChangeSlots, uint64(max(0, s.Slots)))
				e.flag(fieldChangeDraining, s.Draining)
				e.millis(fieldChangeColdRemaining, s.ColdUntil)
			}
		})
	}
}

// value is the value of a decoded field; which field is set depends on its wire type.
type value struct {
	number uint64
	bytes  []byte
}

// millis returns a duration in ms, limited to an hour.
func (v value) millis() oleanderspool.Millis {
	return oleanderspool.Millis(min(v.number, uint64(oleanderspool.Hour)))
}

// tokens returns a number of tokens, limited so that sums do not overflow.
func (v value) tokens() int64 {
	return int64(min(v.number, math.MaxInt32))
}

func (v value) offset() oleanderspool.Offset {
	return oleanderspool.Offset(min(v.number, math.MaxInt64))
}

func (v value) float() float64 {
	f := float64(math.Float32frombits(uint32(v.number)))
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return max(0, f)
}

func (v value) instance() oleanderspool.InstanceID {
	return oleanderspool.InstanceID(v.bytes)
}

// fields calls handle for each field of an encoded message, until the first error.
func fields(data []byte, handle func(protowire.Number, value) error) error {
	for len(data) > 0 {
		n, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return decodeError(size)
		}
		data = data[size:]
		var v value
		switch kind {
		case protowire.VarintType:
			v.number, size = protowire.ConsumeVarint(data)
		case protowire.Fixed32Type:
			var f uint32
			f, size = protowire.ConsumeFixed32(data)
			v.number = uint64(f)
		case protowire.Fixed64Type:
			v.number, size = protowire.ConsumeFixed64(data)
		case protowire.BytesType:
			v.bytes, size = protowire.ConsumeBytes(data)
		default:
			size = protowire.ConsumeFieldValue(n, kind, data)
		}
		if size < 0 {
			return decodeError(size)
		}
		data = data[size:]
		if err := handle(n, v); err != nil {
			return err
		}
	}
	return nil
}

func decodeError(code int) error {
	return oleanderspool.ErrInvalid.Wrap(protowire.ParseError(code), "cannot decode datagram")
}

// countFields returns how often a field occurs in a valid message.
func countFields(data []byte, field protowire.Number) int {
	count := 0
	for len(data) > 0 {
		n, _, size := protowire.ConsumeField(data)
		if size < 0 {
			break
		}
		if n == field {
			count++
		}
		data = data[size:]
	}
	return count
}

// Decode decodes a message. Unknown fields are ignored.
func Decode(data []byte) (Message, error) {
	var m Message
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldRunID:
			m.RunID = v.number
		case fieldSequence:
			m.Sequence = v.number
		case fieldEntry:
			var err error
			m.Endpoint, err = decodeEntry(v.bytes)
			return err
		case fieldComplete:
			m.Complete = v.number == 1
		case fieldLeaving:
			m.Leaving = v.number == 1
		case fieldTask:
			if len(m.Tasks) == 1 {
				// Most messages have one task; the complete ones have all of their entry.
				m.Tasks = slices.Grow(m.Tasks, countFields(data, fieldTask)-1)
			}
			m.Tasks = append(m.Tasks, Task{})
			return decodeTask(v.bytes, &m.Tasks[len(m.Tasks)-1])
		case fieldEndedTask:
			m.EndedTasks = append(m.EndedTasks, placement.TaskID(v.number))
		case fieldCrash:
			c, _, err := decodeEvent(v.bytes)
			m.Crashes = append(m.Crashes, c)
			return err
		case fieldSuspicion:
			c, _, err := decodeEvent(v.bytes)
			m.Suspicions = append(m.Suspicions, Suspicion{Server: c.Server.Instance, Remaining: c.Age})
			return err
		case fieldAnsweredRequest:
			m.Answered = append(m.Answered, Answer{Fingerprint: oleanderspool.Fingerprint(v.number)})
		case fieldAnswer:
			c, _, err := decodeEvent(v.bytes)
			m.Answered = append(m.Answered, Answer{Fingerprint: c.Request, Age: c.Age})
			return err
		case fieldQuarantined:
			c, idle, err := decodeEvent(v.bytes)
			m.Quarantined = append(m.Quarantined, oleanderspool.QuarantinedPart{Fingerprint: c.Request, Age: c.Age, Idle: idle})
			return err
		case fieldRefused:
			m.Refused = append(m.Refused, oleanderspool.Fingerprint(v.number))
		case fieldSentAt:
			m.SentAt = oleanderspool.Millis(min(v.number, math.MaxInt64))
		case fieldRegistryUpdate:
			u, err := decodeRegistryUpdate(v.bytes)
			m.RegistryUpdates = append(m.RegistryUpdates, u)
			return err
		}
		return nil
	})
	return m, err
}

func decodeEntry(data []byte) (Endpoint, error) {
	var entry Endpoint
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldEntryInstance:
			entry.Instance = v.instance()
		case fieldEntryAddress:
			entry.Address = string(v.bytes)
		case fieldEntryDataCentre:
			entry.DataCentre = oleanderspool.DataCentreID(v.bytes)
		case fieldEntryCapacity:
			entry.Capacity = int64(min(v.number, math.MaxInt32))
		}
		return nil
	})
	return entry, err
}

func decodeRegistryUpdate(data []byte) (directory.RegistryUpdate, error) {
	var u directory.RegistryUpdate
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldUpdateFrom:
			u.From = v.offset()
		case fieldUpdateNext:
			u.Next = v.offset()
		case fieldUpdateAge:
			u.Age = v.millis()
		case fieldUpdateReachable:
			u.Reachable = v.millis()
		case fieldUpdateChange:
			c, err := decodeChange(v.bytes)
			u.Changes = append(u.Changes, c)
			return err
		}
		return nil
	})
	return u, err
}

// decodeChange decodes a change of the registry. A change without an address removes
// its server.
func decodeChange(data []byte) (directory.Change, error) {
	var c directory.Change
	var s directory.Server
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldChangeOffset:
			c.Offset = v.offset()
		case fieldChangeInstance:
			c.Instance = v.instance()
		case fieldChangeService:
			s.Service = string(v.bytes)
		case fieldChangeAddress:
			s.Address = string(v.bytes)
		case fieldChangeDataCentre:
			s.DataCentre = oleanderspool.DataCentreID(v.bytes)
		case fieldChangeStarted:
			s.Started = int64(min(v.number, math.MaxInt64))
		case fieldChangeSlots:
			s.Slots = int(min(v.number, math.MaxInt32))
		case fieldChangeDraining:
			s.Draining = v.number == 1
		case fieldChangeColdRemaining:
			s.ColdUntil = v.millis()
		}
		return nil
	})
	if s.Address == "" {
		c.Removed = true
		return c, err
	}
	s.Instance = c.Instance
	c.Server = &s
	return c, err
}

// decodeEvent decodes a crash, or a suspicion, an answer or a quarantined part, which
// have some of its fields.
func decodeEvent(data []byte) (c Crash, idle oleanderspool.Millis, err error) {
	err = fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldEventServer:
			c.Server.Instance = v.instance()
		case fieldEventFingerprint:
			c.Request = oleanderspool.Fingerprint(v.number)
		case fieldEventDuration:
			c.Age = v.millis()
		case fieldEventAddress:
			c.Server.Address = string(v.bytes)
		case fieldEventStarted:
			c.Server.Started = int64(min(v.number, math.MaxInt64))
		case fieldEventBeginning:
			c.Beginning = v.number == 1
		case fieldEventPart:
			c.Parts = append(c.Parts, oleanderspool.Fingerprint(v.number))
		case fieldEventIdle:
			idle = v.millis()
		}
		return nil
	})
	return c, idle, err
}

func decodeTask(data []byte, t *Task) error {
	return fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldTaskID:
			t.ID = placement.TaskID(v.number)
		case fieldTaskServer:
			t.Server = v.instance()
		case fieldTaskContextTokens:
			t.ContextTokens = v.tokens()
		case fieldTaskMemoryTokens:
			t.MemoryTokens = v.tokens()
		case fieldTaskOutputTokens:
			t.OutputTokens = v.tokens()
		case fieldTaskPrefill:
			t.PrefillMillis = v.float()
		case fieldTaskMaxPassPrefill:
			t.MaxPassPrefillMillis = v.float()
		case fieldTaskValue:
			t.Value = v.float()
		case fieldTaskTTFTGoal:
			t.TTFTGoal = v.millis()
		case fieldTaskInterTokenGoal:
			t.InterTokenGoal = v.millis()
		case fieldTaskAge:
			t.Age = v.millis()
		case fieldTaskDecoding:
			t.Decoding = v.number == 1
		case fieldTaskSharded:
			t.Sharded = v.number == 1
		}
		return nil
	})
}
