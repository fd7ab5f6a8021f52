package gossip

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// Fields of a message.
const (
	fieldEntry protowire.Number = iota + 1
	fieldName
	fieldComplete
	fieldLeaving
	fieldWork
	fieldEnded
	fieldCrash
	fieldTrouble
	fieldPeer
	fieldRefused
	fieldAnswered
	fieldSentAt
	fieldNews
)

// Fields of a piece of work.
const (
	fieldWorkID protowire.Number = iota + 1
	fieldWorkServer
	fieldWorkTokens
	fieldWorkMemory
	fieldWorkAnswer
	fieldWorkRead
	fieldWorkLargest
	fieldWorkValue
	fieldWorkGoal
	fieldWorkPauseGoal
	fieldWorkPlacedAgo
	fieldWorkWriting
	_ // an instant that earlier versions sent
	fieldWorkPart
)

// Fields of news and of its changes.
const (
	fieldNewsFrom protowire.Number = iota + 1
	fieldNewsNext
	fieldNewsAge
	fieldNewsChange
)

// Fields of a change of the registry.
const (
	fieldChangeOffset protowire.Number = iota + 1
	fieldChangeInstance
	fieldChangeService
	fieldChangeAddress
	fieldChangeDataCentre
	fieldChangeStarted
	fieldChangeSlots
	fieldChangeDraining
	fieldChangeColdLeft
)

// Fields of a crash and of a trouble.
const (
	fieldServer protowire.Number = iota + 1
	fieldFingerprint
	fieldSpan
)

// encoder appends fields and leaves out those that are zero.
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

func (e *encoder) span(n protowire.Number, span oleanderspool.Millis) {
	e.number(n, uint64(max(0, span)))
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

// Encode returns the datagram of a message.
func Encode(m Message) []byte {
	var e encoder
	e.fixed(fieldEntry, m.Entry)
	e.text(fieldName, string(m.Instance))
	e.flag(fieldComplete, m.Complete)
	e.flag(fieldLeaving, m.Leaving)
	for _, w := range m.Tasks {
		e.nested(fieldWork, func(e *encoder) { encodeWork(e, w) })
	}
	for _, id := range m.EndedTasks {
		e.fixed(fieldEnded, uint64(id))
	}
	for _, c := range m.Crashes {
		e.nested(fieldCrash, func(e *encoder) {
			e.text(fieldServer, string(c.Server))
			e.fixed(fieldFingerprint, uint64(c.Fingerprint))
			e.span(fieldSpan, c.Age)
		})
	}
	for _, t := range m.Suspicions {
		e.nested(fieldTrouble, func(e *encoder) {
			e.text(fieldServer, string(t.Server))
			e.span(fieldSpan, t.Remaining)
		})
	}
	for _, p := range m.Peers {
		e.text(fieldPeer, p)
	}
	for _, f := range m.Refused {
		e.fixed(fieldRefused, uint64(f))
	}
	for _, f := range m.Answered {
		e.fixed(fieldAnswered, uint64(f))
	}
	e.span(fieldSentAt, m.SentAt)
	for _, n := range m.RegistryUpdates {
		e.nested(fieldNews, func(e *encoder) { encodeNews(e, n) })
	}
	return e.data
}

func encodeWork(e *encoder, w Task) {
	e.fixed(fieldWorkID, uint64(w.ID))
	e.text(fieldWorkServer, string(w.Server))
	e.number(fieldWorkTokens, uint64(max(0, w.ContextTokens)))
	e.number(fieldWorkMemory, uint64(max(0, w.MemoryTokens)))
	e.number(fieldWorkAnswer, uint64(max(0, w.OutputTokens)))
	e.float(fieldWorkRead, w.PrefillMillis)
	e.float(fieldWorkLargest, w.MaxPassPrefillMillis)
	e.float(fieldWorkValue, w.Value)
	e.span(fieldWorkGoal, w.TTFTGoal)
	e.span(fieldWorkPauseGoal, w.InterTokenGoal)
	e.span(fieldWorkPlacedAgo, w.Age)
	e.flag(fieldWorkWriting, w.Decoding)
	e.flag(fieldWorkPart, w.Sharded)
}

func encodeNews(e *encoder, n directory.RegistryUpdate) {
	e.number(fieldNewsFrom, uint64(max(0, n.From)))
	e.number(fieldNewsNext, uint64(max(0, n.Next)))
	e.span(fieldNewsAge, n.Age)
	for _, c := range n.Changes {
		e.nested(fieldNewsChange, func(e *encoder) {
			e.number(fieldChangeOffset, uint64(max(0, c.Offset)))
			e.text(fieldChangeInstance, string(c.Instance))
			if s := c.Server; s != nil {
				e.text(fieldChangeService, s.Service)
				e.text(fieldChangeAddress, s.Address)
				e.text(fieldChangeDataCentre, string(s.DataCentre))
				e.number(fieldChangeStarted, uint64(max(0, s.Started)))
				e.number(fieldChangeSlots, uint64(max(0, s.Slots)))
				e.flag(fieldChangeDraining, s.Draining)
				e.span(fieldChangeColdLeft, s.ColdUntil)
			}
		})
	}
}

// value is a decoded field.
type value struct {
	number uint64
	bytes  []byte
}

func (v value) millis() oleanderspool.Millis {
	return oleanderspool.Millis(min(v.number, uint64(oleanderspool.Hour)))
}

func (v value) offset() oleanderspool.Offset {
	return oleanderspool.Offset(min(v.number, math.MaxInt64))
}

func (v value) float() float64 {
	f := float64(math.Float32frombits(uint32(v.number)))
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}

func (v value) instance() oleanderspool.InstanceID {
	return oleanderspool.InstanceID(v.bytes)
}

// fields calls take for each field of an encoded message.
func fields(data []byte, take func(protowire.Number, value) error) error {
	for len(data) > 0 {
		n, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return invalid(size)
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
			return invalid(size)
		}
		data = data[size:]
		if err := take(n, v); err != nil {
			return err
		}
	}
	return nil
}

func invalid(size int) error {
	return oleanderspool.ErrInvalid.Wrap(protowire.ParseError(size), "unreadable datagram")
}

// Decode returns the message of a datagram.
func Decode(data []byte) (Message, error) {
	var m Message
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldEntry:
			m.Entry = v.number
		case fieldName:
			m.Instance = v.instance()
		case fieldComplete:
			m.Complete = v.number == 1
		case fieldLeaving:
			m.Leaving = v.number == 1
		case fieldWork:
			w, err := decodeWork(v.bytes)
			m.Tasks = append(m.Tasks, w)
			return err
		case fieldEnded:
			m.EndedTasks = append(m.EndedTasks, placement.TaskID(v.number))
		case fieldCrash:
			server, fingerprint, span, err := decodeEvent(v.bytes)
			m.Crashes = append(m.Crashes, Crash{Fingerprint: fingerprint, Server: server, Age: span})
			return err
		case fieldTrouble:
			server, _, span, err := decodeEvent(v.bytes)
			m.Suspicions = append(m.Suspicions, Suspicion{Server: server, Remaining: span})
			return err
		case fieldPeer:
			m.Peers = append(m.Peers, string(v.bytes))
		case fieldRefused:
			m.Refused = append(m.Refused, oleanderspool.Fingerprint(v.number))
		case fieldAnswered:
			m.Answered = append(m.Answered, oleanderspool.Fingerprint(v.number))
		case fieldSentAt:
			m.SentAt = oleanderspool.Millis(min(v.number, math.MaxInt64))
		case fieldNews:
			n, err := decodeNews(v.bytes)
			m.RegistryUpdates = append(m.RegistryUpdates, n)
			return err
		}
		return nil
	})
	return m, err
}

func decodeNews(data []byte) (directory.RegistryUpdate, error) {
	var n directory.RegistryUpdate
	err := fields(data, func(number protowire.Number, v value) error {
		switch number {
		case fieldNewsFrom:
			n.From = v.offset()
		case fieldNewsNext:
			n.Next = v.offset()
		case fieldNewsAge:
			n.Age = v.millis()
		case fieldNewsChange:
			c, err := decodeChange(v.bytes)
			n.Changes = append(n.Changes, c)
			return err
		}
		return nil
	})
	return n, err
}

// decodeChange decodes a change of the registry. One without an address removes
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
		case fieldChangeColdLeft:
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

func decodeEvent(data []byte) (server oleanderspool.InstanceID, fingerprint oleanderspool.Fingerprint, span oleanderspool.Millis, err error) {
	err = fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldServer:
			server = v.instance()
		case fieldFingerprint:
			fingerprint = oleanderspool.Fingerprint(v.number)
		case fieldSpan:
			span = v.millis()
		}
		return nil
	})
	return server, fingerprint, span, err
}

func decodeWork(data []byte) (Task, error) {
	var w Task
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldWorkID:
			w.ID = placement.TaskID(v.number)
		case fieldWorkServer:
			w.Server = v.instance()
		case fieldWorkTokens:
			w.ContextTokens = int64(v.number)
		case fieldWorkMemory:
			w.MemoryTokens = int64(v.number)
		case fieldWorkAnswer:
			w.OutputTokens = int64(v.number)
		case fieldWorkRead:
			w.PrefillMillis = v.float()
		case fieldWorkLargest:
			w.MaxPassPrefillMillis = v.float()
		case fieldWorkValue:
			w.Value = v.float()
		case fieldWorkGoal:
			w.TTFTGoal = v.millis()
		case fieldWorkPauseGoal:
			w.InterTokenGoal = v.millis()
		case fieldWorkPlacedAgo:
			w.Age = v.millis()
		case fieldWorkWriting:
			w.Decoding = v.number == 1
		case fieldWorkPart:
			w.Sharded = v.number == 1
		}
		return nil
	})
	return w, err
}
