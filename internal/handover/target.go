package handover

import "github.com/oleanderspool/oleanderspool"

// Target decides for the agent that takes streams over. One import is in
// progress at a time, so that the agent holds one cache. It is not safe for
// concurrent use.
type Target struct {
	limits  Limits
	imports map[oleanderspool.AttemptID]*imported
	running oleanderspool.AttemptID // import in progress; empty for none
}

// imported is a cache on its way or on the engine.
type imported struct {
	until oleanderspool.Millis // instant at which it lapses
	ready bool
}

// NewTarget returns the decisions of an agent without imports.
func NewTarget(l Limits) *Target {
	return &Target{limits: l, imports: make(map[oleanderspool.AttemptID]*imported)}
}

// BeginImport starts the import for an attempt and returns the instant at which it
// lapses. It returns false while another import is in progress.
func (t *Target) BeginImport(id oleanderspool.AttemptID, now oleanderspool.Millis) (until oleanderspool.Millis, ok bool) {
	if t.running != "" || t.imports[id] != nil {
		return 0, false
	}
	i := &imported{until: now + t.limits.TransferTimeout}
	t.imports[id] = i
	t.running = id
	return i.until, true
}

// ImportReady notes that the engine has the cache and returns the instant until
// which it waits for the attempt. It returns false if the import has lapsed.
func (t *Target) ImportReady(id oleanderspool.AttemptID, now oleanderspool.Millis) (until oleanderspool.Millis, ok bool) {
	i := t.imports[id]
	if i == nil || i.ready || now >= i.until {
		return 0, false
	}
	t.running = ""
	i.ready = true
	i.until = now + t.limits.SwitchTimeout
	return i.until, true
}

// Claim gives a cache to its attempt, which starts. It returns false if the
// cache has lapsed.
func (t *Target) Claim(id oleanderspool.AttemptID, now oleanderspool.Millis) bool {
	i := t.imports[id]
	if i == nil || !i.ready || now >= i.until {
		return false
	}
	t.Drop(id)
	return true
}

// Drop ends an import. It reports whether there was one.
func (t *Target) Drop(id oleanderspool.AttemptID) bool {
	if t.imports[id] == nil {
		return false
	}
	delete(t.imports, id)
	if t.running == id {
		t.running = ""
	}
	return true
}

// RemoveExpired ends the imports whose bound has passed and returns them.
func (t *Target) RemoveExpired(now oleanderspool.Millis) []oleanderspool.AttemptID {
	var lapsed []oleanderspool.AttemptID
	for id, i := range t.imports {
		if now >= i.until {
			lapsed = append(lapsed, id)
		}
	}
	for _, id := range lapsed {
		t.Drop(id)
	}
	return lapsed
}
