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

// Diff returns the change set that leads from base to next, without an id. An
// object of next that carries a revision was made against that revision; any
// other was made against base.
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

// equal reports whether two objects print equal bytes.
func equal(a, b Object) bool {
	return slices.Equal(printObject(a), printObject(b))
}

func printObject(o Object) []byte {
	p := &printer{first: true}
	o.write(p)
	return p.bytes
}

// Apply returns the configuration after a change set, in which the objects
// that were put have the given revision. It returns the unchanged
// configuration and an error of type [oleanderspool.ErrInvalid] with all
// findings when a named object revision is not current or the result is
// invalid. The cost depends on the size of the change set only.
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

func (c Configuration) checkRevision(ref Ref, made oleanderspool.Revision, findings *oleanderspool.Findings) {
	_, found := c.Object(ref)
	current := c.Revision(ref)
	if made == current && (found || made == 0) {
		return
	}
	if !found {
		findings.Addf(placeOf(ref, "revision"), "made against revision %d, but the object does not exist", made)
		return
	}
	findings.Addf(placeOf(ref, "revision"), "made against revision %d, but the current one is %d", made, current)
}

// check finds faults of the change set itself.
func (s ChangeSet) check(findings *oleanderspool.Findings) {
	if fault := idFault(s.ID); fault != "" {
		findings.Addf("id", "%s", fault)
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
	p.lines("puts", len(puts), func(i int) {
		p.text("kind", string(puts[i].Object.Ref().Kind))
		puts[i].Object.write(p)
		p.integer("revision", int64(puts[i].Revision))
	})
	p.lines("deletes", len(deletes), func(i int) {
		p.text("kind", string(deletes[i].Ref.Kind))
		p.text("id", deletes[i].Ref.ID)
		p.integer("revision", int64(deletes[i].Revision))
	})
	p.close('}')
	p.bytes = append(p.bytes, '\n')
	return p.bytes, nil
}

// checkPrintable finds numbers that JSON cannot hold, nil objects and negative
// revisions.
func (s ChangeSet) checkPrintable(findings *oleanderspool.Findings) {
	for i, put := range s.Puts {
		if put.Object == nil {
			findings.Addf(fmt.Sprintf("puts[%d]", i), "the object is nil")
			continue
		}
		if put.Revision < 0 {
			findings.Addf(placeOf(put.Object.Ref(), "revision"), "is negative")
		}
		account, isAccount := put.Object.value().(ClientAccount)
		if isAccount && !(isFinite(account.RequestsPerSec) && isFinite(account.ShareOfCapacity)) {
			findings.Addf(placeOf(account.Ref(), ""), "a number is not finite")
		}
	}
	for _, del := range s.Deletes {
		if del.Revision < 0 {
			findings.Addf(placeOf(del.Ref, "revision"), "is negative")
		}
	}
}

func isFinite(value float64) bool {
	return value-value == 0
}

// ParseChangeSet reads a change set in the printed format. The file name is
// used in findings only. It returns an error of type
// [oleanderspool.ErrInvalid] with all findings, each with its line and key.
// Whether the change can be applied is for [Configuration.Apply] to find.
func ParseChangeSet(file string, data []byte) (ChangeSet, error) {
	p := &parser{file: file}
	root, valid := p.root(data)
	if !valid {
		return ChangeSet{}, p.err()
	}
	top := fieldsOf(file, "", root, &p.findings)
	p.format(top)
	s := ChangeSet{ID: top.text("id")}
	if m, found := top.find("id"); found && !top.faulty["id"] && idFault(s.ID) != "" {
		top.add(m.line, "id", idFault(s.ID))
	}
	puts, _ := top.take("puts", nodeArray)
	for i, n := range puts.elements {
		s.Puts = p.put(s.Puts, fmt.Sprintf("puts[%d]", i), n)
	}
	deletes, _ := top.take("deletes", nodeArray)
	for i, n := range deletes.elements {
		s.Deletes = p.delete(s.Deletes, fmt.Sprintf("deletes[%d]", i), n)
	}
	top.finish()
	if err := p.err(); err != nil {
		return ChangeSet{}, err
	}
	return s, nil
}

func (p *parser) put(puts []Put, place string, n node) []Put {
	spec, known := p.kind(place, n)
	if !known {
		return puts
	}
	o := p.object(spec, place, n, true)
	return append(puts, Put{Object: o.object, Revision: o.revision})
}

func (p *parser) delete(deletes []Delete, place string, n node) []Delete {
	spec, known := p.kind(place, n)
	if !known {
		return deletes
	}
	f := fieldsOf(p.file, place, n, &p.findings)
	f.text("kind")
	d := Delete{Ref: Ref{Kind: spec.kind, ID: f.text("id")}, Revision: f.revision()}
	f.finish()
	return append(deletes, d)
}

// kind returns the spec that the member "kind" of n names.
func (p *parser) kind(place string, n node) (*kindSpec, bool) {
	f := fieldsOf(p.file, place, n, &p.findings)
	m, found := f.take("kind", nodeText)
	if !found {
		return nil, false
	}
	spec, known := specOf(Kind(m.text))
	if !known {
		f.add(m.line, "kind", fmt.Sprintf("%q is not a kind of object", m.text))
	}
	return spec, known
}
