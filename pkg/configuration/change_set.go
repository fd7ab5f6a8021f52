package configuration

import (
	"fmt"
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// Put adds or replaces an object.
type Put struct {
	Object Object
	// Revision is the revision of the object that the change was made against;
	// 0 for a new object.
	Revision oleanderspool.Revision
}

// Delete removes an object.
type Delete struct {
	Ref Ref
	// Revision is the revision of the object that the change was made against.
	Revision oleanderspool.Revision
}

// ChangeSet is a set of puts and deletes that is accepted or rejected as a
// whole. Its id is chosen by the operator and names it in the log, so a change
// set that is appended twice is applied once.
type ChangeSet struct {
	ID      string   // empty until it is set; must not be empty when printed
	Puts    []Put    // not to be modified
	Deletes []Delete // not to be modified
}

// WithID returns a copy with the given id.
func (s ChangeSet) WithID(id string) ChangeSet {
	s.ID = id
	return s
}

// Empty reports whether the change set changes nothing.
func (s ChangeSet) Empty() bool {
	return len(s.Puts) == 0 && len(s.Deletes) == 0
}

// Diff returns the change set that turns base into next, without an id. A put
// names the revision of its object in next, or the one in base when the object
// has no revision in next.
func Diff(base, next Configuration) ChangeSet {
	var s ChangeSet
	for _, o := range next.Objects() {
		ref := o.Ref()
		old, found := base.Object(ref)
		if found && equal(old, o) {
			continue
		}
		revision := next.Revision(ref)
		if revision == 0 {
			revision = base.Revision(ref)
		}
		s.Puts = append(s.Puts, Put{Object: o, Revision: revision})
	}
	for _, o := range base.Objects() {
		if _, found := next.Object(o.Ref()); !found {
			s.Deletes = append(s.Deletes, Delete{Ref: o.Ref(), Revision: base.Revision(o.Ref())})
		}
	}
	return s
}

// equal reports whether two objects have the same printed form.
func equal(a, b Object) bool {
	return slices.Equal(printObject(a), printObject(b))
}

func printObject(o Object) []byte {
	p := &printer{first: true}
	o.write(p)
	return p.bytes
}

// Apply returns the configuration after a change set, in which the objects
// that were put have the given revision. When a put or delete names a revision
// that is not current, or the result is invalid, it returns the unchanged
// configuration and an error of type [oleanderspool.ErrInvalid] with all
// findings. The cost depends only on the size of the change set.
func (c Configuration) Apply(change ChangeSet, revision oleanderspool.Revision) (Configuration, error) {
	var findings oleanderspool.Findings
	change.check(&findings)
	puts := make([]Object, len(change.Puts))
	for i, put := range change.Puts {
		puts[i] = put.Object
		if put.Object != nil {
			c.checkRevision(put.Object.Ref(), put.Revision, &findings)
		}
	}
	deletes := make([]Ref, len(change.Deletes))
	for i, del := range change.Deletes {
		deletes[i] = del.Ref
		c.checkRevision(del.Ref, del.Revision, &findings)
	}
	next, invalid := c.replace(puts, deletes)
	all := slices.Concat(findings.All(), invalid)
	if len(all) > 0 {
		return c, errorOf(all)
	}
	for _, o := range puts {
		next = next.WithRevision(o.Ref(), revision)
	}
	return next, nil
}

func (c Configuration) checkRevision(ref Ref, expected oleanderspool.Revision, findings *oleanderspool.Findings) {
	_, found := c.Object(ref)
	current := c.Revision(ref)
	if expected == current && (found || expected == 0) {
		return
	}
	if !found {
		findings.Addf(keyPath(ref, "revision"), "made against revision %d, but the object does not exist", expected)
		return
	}
	findings.Addf(keyPath(ref, "revision"), "made against revision %d, but the current one is %d", expected, current)
}

// check reports errors in the id of the change set and an empty change set.
func (s ChangeSet) check(findings *oleanderspool.Findings) {
	if problem := idProblem(s.ID); problem != "" {
		findings.Addf("id", "%s", problem)
	}
	if s.Empty() {
		findings.Addf("", "the change set changes nothing")
	}
}

// Print returns the change set in the printed format. Puts and deletes are in
// ascending order, so equal change sets print equal bytes. It returns an error
// of type [oleanderspool.ErrInvalid] with all findings when the id is invalid,
// the change set is empty or an object cannot be printed.
func (s ChangeSet) Print() ([]byte, error) {
	var findings oleanderspool.Findings
	s.check(&findings)
	s.checkPrintable(&findings)
	if err := errorOf(findings.All()); err != nil {
		return nil, err
	}
	puts := slices.SortedFunc(slices.Values(s.Puts), func(a, b Put) int {
		return a.Object.Ref().Compare(b.Object.Ref())
	})
	deletes := slices.SortedFunc(slices.Values(s.Deletes), func(a, b Delete) int {
		return a.Ref.Compare(b.Ref)
	})
	p := &printer{}
	p.open('{')
	p.integer("format", formatVersion)
	p.text("id", s.ID)
	p.objectLines("puts", len(puts), func(i int) {
		p.text("kind", string(puts[i].Object.Ref().Kind))
		puts[i].Object.write(p)
		p.integer("revision", int64(puts[i].Revision))
	})
	p.objectLines("deletes", len(deletes), func(i int) {
		p.text("kind", string(deletes[i].Ref.Kind))
		p.text("id", deletes[i].Ref.ID)
		p.integer("revision", int64(deletes[i].Revision))
	})
	p.close('}')
	p.bytes = append(p.bytes, '\n')
	return p.bytes, nil
}

// checkPrintable reports numbers that JSON cannot represent, nil objects and
// negative revisions.
func (s ChangeSet) checkPrintable(findings *oleanderspool.Findings) {
	for i, put := range s.Puts {
		if put.Object == nil {
			findings.Addf(fmt.Sprintf("puts[%d]", i), "the object is nil")
			continue
		}
		if put.Revision < 0 {
			findings.Addf(keyPath(put.Object.Ref(), "revision"), "is negative")
		}
		account, isAccount := put.Object.value().(ClientAccount)
		if isAccount && !(isFinite(account.RequestsPerSec) && isFinite(account.ShareOfCapacity)) {
			findings.Addf(keyPath(account.Ref(), ""), "a number is not finite")
		}
	}
	for _, del := range s.Deletes {
		if del.Revision < 0 {
			findings.Addf(keyPath(del.Ref, "revision"), "is negative")
		}
	}
}

func isFinite(value float64) bool {
	return value-value == 0
}

// ParseChangeSet parses a change set in the printed format. The file name is
// used only in findings. It returns an error of type
// [oleanderspool.ErrInvalid] with all findings, each with its line and key.
// It does not check whether the change set can be applied;
// [Configuration.Apply] does.
func ParseChangeSet(file string, data []byte) (ChangeSet, error) {
	p := &parser{file: file}
	root, valid := p.parseRoot(data)
	if !valid {
		return ChangeSet{}, p.err()
	}
	top := newMemberReader(file, "", root, &p.findings)
	p.checkFormat(top)
	s := ChangeSet{ID: top.text("id")}
	if m, found := top.find("id"); found && !top.invalid["id"] && idProblem(s.ID) != "" {
		top.addFinding(m.line, "id", idProblem(s.ID))
	}
	puts, _ := top.require("puts", nodeArray)
	for i, n := range puts.elements {
		s.Puts = p.parsePut(s.Puts, fmt.Sprintf("puts[%d]", i), n)
	}
	deletes, _ := top.require("deletes", nodeArray)
	for i, n := range deletes.elements {
		s.Deletes = p.parseDelete(s.Deletes, fmt.Sprintf("deletes[%d]", i), n)
	}
	top.reportUnknown()
	if err := p.err(); err != nil {
		return ChangeSet{}, err
	}
	return s, nil
}

func (p *parser) parsePut(puts []Put, path string, n node) []Put {
	spec, known := p.parseKind(path, n)
	if !known {
		return puts
	}
	o := p.parseObject(spec, path, n, true)
	return append(puts, Put{Object: o.object, Revision: o.revision})
}

func (p *parser) parseDelete(deletes []Delete, path string, n node) []Delete {
	spec, known := p.parseKind(path, n)
	if !known {
		return deletes
	}
	r := newMemberReader(p.file, path, n, &p.findings)
	r.text("kind")
	d := Delete{Ref: Ref{Kind: spec.kind, ID: r.text("id")}, Revision: r.revision()}
	r.reportUnknown()
	return append(deletes, d)
}

// parseKind returns the spec of the kind that the member "kind" of n names.
func (p *parser) parseKind(path string, n node) (*kindSpec, bool) {
	r := newMemberReader(p.file, path, n, &p.findings)
	m, found := r.require("kind", nodeString)
	if !found {
		return nil, false
	}
	spec, known := specOf(Kind(m.text))
	if !known {
		r.addFinding(m.line, "kind", fmt.Sprintf("%q is not a kind of object", m.text))
	}
	return spec, known
}
