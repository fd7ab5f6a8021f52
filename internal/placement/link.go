package placement

import (
	"math"

	"github.com/oleanderspool/oleanderspool"
)

const (
	// linkMemory is the time constant in which earlier results of a link fade.
	linkMemory = 5 * oleanderspool.Second
	// linkServers is the number of different servers whose results must be bad before
	// the link of their data centre is blamed. Fewer are avoided one by one.
	linkServers = 3
	// linkPrior is a number of good results that is assumed beforehand.
	linkPrior = 2
	// degradedLink is the fraction of bad results from which a link counts as degraded
	// in the log and the counters.
	degradedLink = 0.2
	// slowFirstByte is the delay of a first byte beyond its prediction that counts as
	// bad: the shortest time after which TCP sends a lost packet again.
	slowFirstByte = 200 * oleanderspool.Millis(1)
)

// link holds the results of the requests that this entry sent to the servers of one data
// centre.
type link struct {
	good, bad float64 // fading numbers of results
	at        oleanderspool.Millis
	servers   [linkServers]badResult // the last bad results of different servers
	degraded  bool
}

type badResult struct {
	server oleanderspool.InstanceID // empty for none
	at     oleanderspool.Millis
}

// LinkChange is the beginning or the end of a degradation of the link to a data centre.
type LinkChange struct {
	DataCentre oleanderspool.DataCentreID
	Degraded   bool
	Lost       float64 // fraction of the requests that fail or whose first byte is late
}

func (l *link) fade(now oleanderspool.Millis) {
	if now <= l.at {
		return
	}
	f := math.Exp(-float64(now-l.at) / float64(linkMemory))
	l.good, l.bad, l.at = l.good*f, l.bad*f, now
}

// recordBad records a bad result of a server in place of its earlier one, or else of the
// oldest one.
func (l *link) recordBad(server oleanderspool.InstanceID, now oleanderspool.Millis) {
	l.fade(now)
	l.bad++
	oldest := 0
	for i, b := range l.servers {
		if b.server == server {
			oldest = i
			break
		}
		if b.at < l.servers[oldest].at {
			oldest = i
		}
	}
	l.servers[oldest] = badResult{server: server, at: now}
}

// lost returns the fraction of the requests that fail or whose first byte is late; 0
// while too few servers are concerned.
func (l *link) lost(now oleanderspool.Millis) float64 {
	if l.bad == 0 {
		return 0
	}
	for _, b := range l.servers {
		if b.server == "" || now-b.at > 2*linkMemory {
			return 0
		}
	}
	l.fade(now)
	return l.bad / (l.good + l.bad + linkPrior)
}

// setLinkCosts sets the costs of the links, relative to the best one: failures in all
// data centres do not come from a link. total is the cost of a link that fails always.
func (ds *dataCentres) setLinkCosts(total float64, now oleanderspool.Millis) {
	best := math.Inf(1)
	for _, dc := range ds.list {
		dc.linkCost = dc.link.lost(now)
		ds.noteChange(dc, dc.linkCost)
		if dc.servers > 0 {
			best = min(best, dc.linkCost)
		}
	}
	for _, dc := range ds.list {
		dc.linkCost = total * max(0, dc.linkCost-best)
	}
}

// noteChange notes the beginning and the end of a degradation, which ends at half the
// fraction at which it begins.
func (ds *dataCentres) noteChange(dc *dataCentre, lost float64) {
	if degraded := lost >= degradedLink || dc.link.degraded && lost >= degradedLink/2; degraded != dc.link.degraded {
		dc.link.degraded = degraded
		ds.changes = append(ds.changes, LinkChange{DataCentre: dc.name, Degraded: degraded, Lost: lost})
	}
}

// RecordFirstByte records that the first byte of an answer arrived from a server, and how
// long after its prediction.
func (sc *Scheduler) RecordFirstByte(server oleanderspool.InstanceID, in oleanderspool.DataCentreID, late, now oleanderspool.Millis) {
	dc := sc.dataCentres.of(in, nil)
	if late > slowFirstByte {
		dc.link.recordBad(server, now)
		return
	}
	dc.link.fade(now)
	dc.link.good++
}

// RecordLinkFailure records that this entry got no answer from a server.
func (sc *Scheduler) RecordLinkFailure(server oleanderspool.InstanceID, in oleanderspool.DataCentreID, now oleanderspool.Millis) {
	sc.dataCentres.of(in, nil).link.recordBad(server, now)
}

// TakeLinkChanges returns the changes of links since the last call. They are noticed when
// a request is placed.
func (sc *Scheduler) TakeLinkChanges() []LinkChange {
	changes := sc.dataCentres.changes
	sc.dataCentres.changes = nil
	return changes
}
