package clientlimit

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// progressHalfLife is the time after which received bytes count half.
	progressHalfLife = 500 * oleanderspool.Millis(1)
	// uploadGrace is the time in which a body is not refused for others.
	uploadGrace = 500 * oleanderspool.Millis(1)
)

type upload struct {
	startedAt oleanderspool.Millis
	updatedAt oleanderspool.Millis
	progress  float64 // bytes, decayed
	held      int     // bytes of memory
}

func (u *upload) progressAt(now oleanderspool.Millis) float64 {
	return u.progress * math.Exp2(-float64(now-u.updatedAt)/float64(progressHalfLife))
}

// Uploads holds the bodies that are being received and chooses the one that is refused
// when there is no memory left. It is not safe for concurrent use.
type Uploads struct {
	uploads  map[ID]*upload
	refused  map[ID]int // memory of refused bodies that is not returned yet
	awaiting int        // sum of refused
}

// NewUploads returns a set without bodies.
func NewUploads() *Uploads {
	return &Uploads{uploads: make(map[ID]*upload), refused: make(map[ID]int)}
}

// Start adds a body.
func (u *Uploads) Start(id ID, now oleanderspool.Millis) {
	u.uploads[id] = &upload{startedAt: now, updatedAt: now}
}

// Receive records bytes of a body that arrived.
func (u *Uploads) Receive(id ID, bytes int, now oleanderspool.Millis) {
	if b, found := u.uploads[id]; found {
		b.progress, b.updatedAt = b.progressAt(now)+float64(bytes), now
	}
}

// Hold records how many bytes of memory a body holds.
func (u *Uploads) Hold(id ID, bytes int) {
	if b, found := u.uploads[id]; found {
		b.held = bytes
	}
}

// Refuse chooses the body that is refused so that a number of bytes become free for
// another one, and removes it. It returns 0 if memory that is about to be returned
// suffices, if no body may be refused, or if the other one makes the least progress.
func (u *Uploads) Refuse(bytes int, other ID, now oleanderspool.Millis) ID {
	if u.awaiting >= bytes {
		return 0
	}
	least, chosen := math.Inf(1), ID(0)
	for id, b := range u.uploads {
		if b.held == 0 || now-b.startedAt < uploadGrace {
			continue
		}
		if p := b.progressAt(now); p < least || p == least && id < chosen {
			least, chosen = p, id
		}
	}
	if chosen == other {
		return 0
	}
	if chosen != 0 {
		u.refused[chosen] = u.uploads[chosen].held
		u.awaiting += u.uploads[chosen].held
		delete(u.uploads, chosen)
	}
	return chosen
}

// Finish records that a body has arrived as a whole, or failed, and reports whether it
// was refused before. The memory of a refused body counts as held until [Uploads.Return].
func (u *Uploads) Finish(id ID) (refused bool) {
	delete(u.uploads, id)
	return u.Refused(id)
}

// Refused reports whether a body was refused.
func (u *Uploads) Refused(id ID) bool {
	_, refused := u.refused[id]
	return refused
}

// Return records that the memory of a body was returned.
func (u *Uploads) Return(id ID) {
	u.awaiting -= u.refused[id]
	delete(u.refused, id)
}
