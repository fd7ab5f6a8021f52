package handover

import "github.com/oleanderspool/oleanderspool"

// Target tracks the imports of the agent that takes streams over. One import is in
// progress at a time, so that the agent holds one cache. A Target is not safe for
// concurrent use.
type Target struct {
	limits     Limits
	imports    map[oleanderspool.AttemptID]*importState
	inProgress oleanderspool.AttemptID // the import in progress; empty for none
}

// importState is the state of a cache in transfer or on the engine.
type importState struct {
	deadline oleanderspool.Millis // instant at which the import expires
	ready    bool                 // the engine has the cache
}

// NewTarget returns the Target of an agent without imports.
func NewTarget(l Limits) *Target {
	return &Target{limits: l, imports: make(map[oleanderspool.AttemptID]*importState)}
}

// BeginImport starts the import for an attempt and returns the instant at which it
// expires. It returns false if another import is in progress or the attempt
// already has one.
func (t *Target) BeginImport(id oleanderspool.AttemptID, now oleanderspool.Millis) (deadline oleanderspool.Millis, ok bool) {
	if t.inProgress != "" || t.imports[id] != nil {
		return 0, false
	}
	i := &importState{deadline: now + t.limits.TransferTimeout}
	t.imports[id] = i
	t.inProgress = id
	return i.deadline, true
}

// ImportReady records that the engine has the cache and returns the instant until
// which the cache is kept for the attempt. It returns false if the import has
// expired.
func (t *Target) ImportReady(id oleanderspool.AttemptID, now oleanderspool.Millis) (deadline oleanderspool.Millis, ok bool) {
	i := t.imports[id]
	if i == nil || i.ready || now >= i.deadline {
		return 0, false
	}
	t.inProgress = ""
	i.ready = true
	i.deadline = now + t.limits.SwitchTimeout
	return i.deadline, true
}

// Claim hands the imported cache to its attempt and ends the import. It returns false if the
// import has expired.
func (t *Target) Claim(id oleanderspool.AttemptID, now oleanderspool.Millis) bool {
	i := t.imports[id]
	if i == nil || !i.ready || now >= i.deadline {
		return false
	}
	t.Drop(id)
	return true
}

// Drop removes an import. It reports whether there was one.
func (t *Target) Drop(id oleanderspool.AttemptID) bool {
	if t.imports[id] == nil {
		return false
	}
	delete(t.imports, id)
	if t.inProgress == id {
		t.inProgress = ""
	}
	return true
}

// RemoveExpired removes the imports that have expired and returns them.
func (t *Target) RemoveExpired(now oleanderspool.Millis) []oleanderspool.AttemptID {
	var expired []oleanderspool.AttemptID
	for id, i := range t.imports {
		if now >= i.deadline {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		t.Drop(id)
	}
	return expired
}
