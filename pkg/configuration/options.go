package configuration

import (
	"github.com/oleanderspool/oleanderspool"
)

// Option adds objects to a configuration.
type Option func(*objectList)

// objectList collects the objects that options add.
type objectList struct {
	objects []Object
}

// WithObjects adds objects of any kind.
func WithObjects(objects ...Object) Option {
	return func(l *objectList) {
		l.objects = append(l.objects, objects...)
	}
}

// WithModels adds models.
func WithModels(models ...Model) Option { return withAll(models) }

// WithVersions adds versions.
func WithVersions(versions ...Version) Option { return withAll(versions) }

// WithAdapters adds adapters.
func WithAdapters(adapters ...Adapter) Option { return withAll(adapters) }

// WithClientAccounts adds client accounts.
func WithClientAccounts(accounts ...ClientAccount) Option { return withAll(accounts) }

// WithPriorities adds priorities.
func WithPriorities(priorities ...Priority) Option { return withAll(priorities) }

// WithServerSets adds sets of backend servers.
func WithServerSets(sets ...ServerSet) Option { return withAll(sets) }

// WithServiceRoutes adds service routes.
func WithServiceRoutes(routes ...ServiceRoute) Option { return withAll(routes) }

func withAll[T Object](objects []T) Option {
	return func(l *objectList) {
		for _, o := range objects {
			l.objects = append(l.objects, o)
		}
	}
}

// New returns a configuration with the objects of the options. It returns an
// error of type [oleanderspool.ErrInvalid] with all findings when an object is
// invalid, given twice or refers to one that does not exist.
func New(options ...Option) (Configuration, error) {
	return Configuration{}.With(options...)
}

// With returns a configuration in which the objects of the options are added,
// or replace those with the same kind and id. Errors are those of [New].
func (c Configuration) With(options ...Option) (Configuration, error) {
	var list objectList
	for _, o := range options {
		o(&list)
	}
	next, findings := c.replace(list.objects, nil)
	return next, errorOf(findings)
}

// Without returns a configuration without the named objects. It returns an
// error of type [oleanderspool.ErrInvalid] with all findings when one does not
// exist or is still referred to.
func (c Configuration) Without(refs ...Ref) (Configuration, error) {
	next, findings := c.replace(nil, refs)
	return next, errorOf(findings)
}

// replace returns the configuration after all puts and deletes, or the
// unchanged configuration and findings. It checks only the named objects, the
// objects they refer to and those that refer to them, so the cost depends on
// the change and not on the size of the configuration.
func (c Configuration) replace(puts []Object, deletes []Ref) (Configuration, []oleanderspool.Finding) {
	var findings oleanderspool.Findings
	puts, deletes = c.distinct(puts, deletes, &findings)
	next := c
	for _, o := range puts {
		if old, found := c.Object(o.Ref()); found {
			next.remove(old)
		}
	}
	for _, ref := range deletes {
		if old, found := c.Object(ref); found {
			next.remove(old)
		}
	}
	for _, o := range puts {
		if keyOwner, duplicate := next.insert(o, c.Revision(o.Ref())); duplicate {
			findings.Addf(keyPath(o.Ref(), "key_hash"), "client account %s has the same key", keyOwner)
		}
	}
	check := checker{previous: &c, next: &next, findings: &findings}
	for _, o := range puts {
		check.object(o)
	}
	for _, ref := range deletes {
		if n := next.referenceCount(ref); n > 0 {
			findings.Addf(keyPath(ref, ""), "cannot be deleted: number of objects that refer to it: %d", n)
		}
	}
	if len(findings.All()) > 0 {
		return c, findings.All()
	}
	return next, nil
}

// distinct drops repeated objects and deletes of objects that do not exist, and
// adds a finding for each. It sorts the instances of server sets.
func (c *Configuration) distinct(puts []Object, deletes []Ref, findings *oleanderspool.Findings) ([]Object, []Ref) {
	named := make(map[Ref]bool, len(puts)+len(deletes))
	keptPuts := make([]Object, 0, len(puts))
	for _, o := range puts {
		if o == nil {
			findings.Addf("", "an object is nil")
			continue
		}
		o = o.value()
		if set, isSet := o.(ServerSet); isSet {
			o = set.WithInstances(set.Instances...)
		}
		if named[o.Ref()] {
			findings.Addf(keyPath(o.Ref(), ""), "is given twice")
			continue
		}
		named[o.Ref()] = true
		keptPuts = append(keptPuts, o)
	}
	keptDeletes := make([]Ref, 0, len(deletes))
	for _, ref := range deletes {
		if named[ref] {
			findings.Addf(keyPath(ref, ""), "is given twice")
			continue
		}
		named[ref] = true
		if _, found := c.Object(ref); !found {
			findings.Addf(keyPath(ref, ""), "cannot be deleted: it does not exist")
			continue
		}
		keptDeletes = append(keptDeletes, ref)
	}
	return keptPuts, keptDeletes
}
