package settings

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/oleanderspool/oleanderspool"
)

const maxIDBytes = 128 // same limit as for ids in the configuration

// Key describes one key of the settings of a role.
type Key struct {
	Name    string
	Type    string
	Unit    string // empty for none
	Default string // empty for a required key
	Range   string
}

// reader reads typed values of a document, adds findings about them and records
// a description of each key that is looked up.
type reader struct {
	*document
	keys []Key
}

func itoa(n int) string {
	return strconv.Itoa(n)
}

// find returns the value of a key. It adds a finding if a required key is missing
// or if the value has none of the given kinds.
func (r *reader) find(key Key, kinds ...unstable.Kind) (*value, bool) {
	r.keys = append(r.keys, key)
	v, found := r.values[key.Name]
	if !found {
		if key.Default == "" {
			r.addMissing(key.Name)
		}
		return nil, false
	}
	v.used = true
	if slices.Contains(kinds, v.kind) {
		return v, true
	}
	message := fmt.Sprintf("expected %s, found %s", key.Type, describe(v))
	if key.Unit != "" {
		message = fmt.Sprintf("expected %s in %s, found %s", key.Type, key.Unit, describe(v))
	}
	r.add(v.line, key.Name, message)
	return nil, false
}

// addMissing adds a finding about an absent required key. It adds none if the key
// may follow a syntax error, or if it is given with another unit, which finish
// reports as an unknown key.
func (r *reader) addMissing(name string) {
	if r.truncated || r.hasOtherUnit(name) {
		return
	}
	r.add(0, name, "is missing")
}

func (r *reader) hasOtherUnit(name string) bool {
	for _, given := range r.order {
		if given != name && trimUnit(given) == trimUnit(name) {
			return true
		}
	}
	return false
}

func describe(v *value) string {
	switch v.kind {
	case unstable.Array:
		return "an array"
	case unstable.String:
		return strconv.Quote(v.text)
	default:
		return v.text
	}
}

// integer reads an integer from low to high. preset is its default.
func (r *reader) integer(name, unit string, preset, low, high int64) int64 {
	key := Key{Name: name, Type: "integer", Unit: unit, Default: strconv.FormatInt(preset, 10), Range: fmt.Sprintf("%d to %d", low, high)}
	v, found := r.find(key, unstable.Integer)
	if !found {
		return preset
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.text, "_", ""), 0, 64)
	if err != nil || n < low || n > high {
		r.add(v.line, name, fmt.Sprintf("%s is not in the range %s", v.text, key.Range))
		return preset
	}
	return n
}

// millis reads a duration in milliseconds. The name must end in "_ms".
func (r *reader) millis(name string, preset, low, high oleanderspool.Millis) oleanderspool.Millis {
	return oleanderspool.Millis(r.integer(name, "milliseconds", int64(preset), int64(low), int64(high)))
}

// number reads a number from low to high. preset is its default.
func (r *reader) number(name, unit string, preset, low, high float64) float64 {
	return r.readNumber(Key{Name: name, Type: "number", Unit: unit, Default: fmt.Sprint(preset)}, preset, low, high)
}

// optionalNumber reads a number without a unit. It returns 0 if the key is absent;
// absent describes what applies then.
func (r *reader) optionalNumber(name, absent string, low, high float64) float64 {
	return r.readNumber(Key{Name: name, Type: "number", Default: absent}, 0, low, high)
}

func (r *reader) readNumber(key Key, preset, low, high float64) float64 {
	key.Range = fmt.Sprintf("%v to %v", low, high)
	v, found := r.find(key, unstable.Float, unstable.Integer)
	if !found {
		return preset
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(v.text, "_", ""), 64)
	if err != nil || math.IsNaN(n) || n < low || n > high {
		r.add(v.line, key.Name, fmt.Sprintf("%s is not in the range %s", v.text, key.Range))
		return preset
	}
	return n
}

// choice reads a string that is one of choices. An empty preset makes the key
// required.
func (r *reader) choice(name, preset string, choices ...string) string {
	key := Key{Name: name, Type: "string", Default: preset, Range: "one of " + strings.Join(choices, ", ")}
	v, found := r.find(key, unstable.String)
	if !found {
		return preset
	}
	if !slices.Contains(choices, v.text) {
		r.add(v.line, name, fmt.Sprintf("%q is not %s", v.text, key.Range))
		return preset
	}
	return v.text
}

// id reads a required id.
func (r *reader) id(name string) string {
	key := Key{Name: name, Type: "string", Range: idRange}
	v, found := r.find(key, unstable.String)
	if !found {
		return ""
	}
	r.checkID(v, name)
	return v.text
}

// idRange describes the length and characters of an id.
const idRange = "1 to 128 bytes: ASCII letters, digits, \".\", \"_\", \"-\""

func (r *reader) checkID(v *value, name string) {
	allowed := func(c rune) bool {
		return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("._-", c)
	}
	bad := strings.IndexFunc(v.text, func(c rune) bool { return !allowed(c) })
	if v.text == "" || len(v.text) > maxIDBytes || bad >= 0 || strings.ContainsAny(v.text[:1], "._-") {
		r.add(v.line, name, fmt.Sprintf("%q is not an id: %s, starting with a letter or a digit", v.text, idRange))
	}
}

// ids reads a list of distinct ids. It may be empty when the key has a default.
func (r *reader) ids(name string, required bool) []string {
	key := Key{Name: name, Type: "array of strings", Default: "[]", Range: idRange}
	if required {
		key.Default = ""
	}
	var result []string
	r.eachString(key, func(v *value) {
		r.checkID(v, name)
		if slices.Contains(result, v.text) {
			r.add(v.line, name, strconv.Quote(v.text)+" is given twice")
		}
		result = append(result, v.text)
	})
	return result
}

// eachString calls f for each string of a list.
func (r *reader) eachString(key Key, f func(v *value)) {
	list, found := r.find(key, unstable.Array)
	if !found {
		return
	}
	if len(list.elements) == 0 && key.Default == "" {
		r.add(list.line, key.Name, "is empty")
	}
	for i := range list.elements {
		v := &list.elements[i]
		if v.kind != unstable.String {
			r.add(v.line, key.Name, "expected "+key.Type+", found "+describe(v))
			continue
		}
		f(v)
	}
}

// addressRange describes an address to connect to, listenRange one to listen on.
const (
	addressRange = "IP number and port, port 1 to 65535"
	listenRange  = "IP number and port, port 0 to 65535; 0 takes a free port"
)

// listen reads a required address to listen on.
func (r *reader) listen(name string) netip.AddrPort {
	return r.readAddress(Key{Name: name, Type: "string", Range: listenRange})
}

// address reads a required address to connect to.
func (r *reader) address(name string) netip.AddrPort {
	return r.readAddress(Key{Name: name, Type: "string", Range: addressRange})
}

func (r *reader) readAddress(key Key) netip.AddrPort {
	v, found := r.find(key, unstable.String)
	if !found {
		return netip.AddrPort{}
	}
	return r.parseAddress(key, v)
}

// addresses reads a list of distinct addresses, empty by default.
func (r *reader) addresses(name string) []netip.AddrPort {
	key := Key{Name: name, Type: "array of strings", Default: "[]", Range: addressRange}
	var result []netip.AddrPort
	r.eachString(key, func(v *value) {
		a := r.parseAddress(key, v)
		if a.IsValid() && slices.Contains(result, a) {
			r.add(v.line, name, strconv.Quote(v.text)+" is given twice")
		}
		result = append(result, a)
	})
	return result
}

func (r *reader) parseAddress(key Key, v *value) netip.AddrPort {
	a, err := netip.ParseAddrPort(v.text)
	if err != nil {
		r.add(v.line, key.Name, addressError(v.text))
		return netip.AddrPort{}
	}
	if a.Port() == 0 && key.Range == addressRange {
		r.add(v.line, key.Name, fmt.Sprintf("%q: port 0 cannot be connected to", v.text))
	}
	return a
}

// addressError returns the message about an address that does not parse. It has
// a message of its own for a host name, since that is the usual mistake.
func addressError(text string) string {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return fmt.Sprintf("%q has no port; expected %s", text, addressRange)
	}
	host := strings.Trim(text[:i], "[]")
	if _, err := netip.ParseAddr(host); err == nil {
		return fmt.Sprintf("%q has a bad port or lacks brackets; expected %s", text, addressRange)
	}
	if host == "" {
		return fmt.Sprintf("%q lacks the IP number; expected %s", text, addressRange)
	}
	return fmt.Sprintf("%q: %q is a host name, not an IP number", text, host)
}

// unitSuffixes lists the suffixes of keys that state a unit.
var unitSuffixes = []string{
	"_ms", "_msec", "_millis", "_milliseconds", "_s", "_sec", "_secs", "_seconds", "_m", "_min", "_minutes",
	"_h", "_hours", "_us", "_ns", "_bytes", "_kb", "_mb", "_gb", "_kib", "_mib", "_gib", "_tokens", "_requests",
}

// trimUnit returns a key without the suffix of its unit.
func trimUnit(key string) string {
	for _, suffix := range unitSuffixes {
		if s, found := strings.CutSuffix(key, suffix); found {
			return s
		}
	}
	return key
}

// finish adds a finding for each key that was never looked up.
func (r *reader) finish() {
	for _, name := range r.order {
		v := r.values[name]
		if !v.used {
			r.add(v.line, name, r.unknownKeyMessage(name))
		}
	}
}

// unknownKeyMessage returns the message about an unknown key. It names the known
// key that differs only in its unit, if there is one.
func (r *reader) unknownKeyMessage(name string) string {
	for _, k := range r.keys {
		if trimUnit(k.Name) == trimUnit(name) {
			return fmt.Sprintf("unknown key: wrong unit, the key is %s, in %s", k.Name, k.Unit)
		}
	}
	return "unknown key"
}

// err returns one error with all findings in the order of their lines, or nil.
func (r *reader) err() error {
	sorted := slices.SortedStableFunc(slices.Values(r.findings.All()), func(a, b oleanderspool.Finding) int {
		return a.Line - b.Line
	})
	var findings oleanderspool.Findings
	for _, f := range sorted {
		findings.Add(f)
	}
	return findings.Err()
}
