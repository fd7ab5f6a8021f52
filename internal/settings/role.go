// Package settings parses the TOML settings file of each role. Parsing is strict:
// unknown keys, wrong units, values out of range and missing keys are all
// reported in one error, each with file, line and key. docs/settings.md lists
// every key.
package settings

import (
	"log/slog"
	"net/netip"

	"github.com/oleanderspool/oleanderspool"
)

// Role is the role of a process, which determines the keys of its settings.
type Role string

// The roles.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RolePlatform Role = "platform" // stand-in for the platform
	RoleEngine   Role = "engine"   // stand-in for an engine
	RoleService  Role = "service"  // stand-in for a plain service
)

// Roles lists every role.
var Roles = []Role{RoleEntry, RoleAgent, RolePlatform, RoleEngine, RoleService}

// Log holds the level and the format of log lines.
type Log struct {
	Level  slog.Level
	Format string // "text" or "json"
}

// Identity names the instance of a process.
type Identity struct {
	Instance   oleanderspool.InstanceID
	DataCentre oleanderspool.DataCentreID
}

// Check returns all findings about the settings of a role as one error of type
// [oleanderspool.ErrInvalid], or nil. The file name is used in findings only.
func Check(role Role, file string, data []byte) error {
	_, err := parse(role, file, data)
	return err
}

// Keys describes the keys of a role, in the order of docs/settings.md. It
// returns nothing for an unknown role.
func Keys(role Role) []Key {
	r := &reader{document: newDocument("", nil)}
	read(role, r)
	return r.keys
}

// parse returns the settings of a role, and an error with all findings.
func parse(role Role, file string, data []byte) (any, error) {
	r := &reader{document: newDocument(file, data)}
	result := read(role, r)
	r.finish()
	return result, r.err()
}

func read(role Role, r *reader) any {
	switch role {
	case RoleEntry:
		return readEntry(r)
	case RoleAgent:
		return readAgent(r)
	case RolePlatform:
		return readPlatform(r)
	case RoleEngine:
		return readEngine(r)
	case RoleService:
		return readService(r)
	}
	r.add(0, "", "unknown role "+string(role))
	return nil
}

// parseAs parses the settings of a role. If there are findings, it returns the
// zero value and an error.
func parseAs[T any](role Role, file string, data []byte) (T, error) {
	var zero T
	result, err := parse(role, file, data)
	if err != nil {
		return zero, err
	}
	return result.(T), nil
}

func readIdentity(r *reader) Identity {
	return Identity{
		Instance:   oleanderspool.InstanceID(r.id("instance")),
		DataCentre: oleanderspool.DataCentreID(r.id("data_centre")),
	}
}

func readLog(r *reader) Log {
	l := Log{Format: "text"}
	level := r.choice("log.level", "info", "debug", "info", "warn", "error")
	_ = l.Level.UnmarshalText([]byte(level)) // choice allows only names of levels
	l.Format = r.choice("log.format", l.Format, "text", "json")
	return l
}

// checkListeners adds a finding for each listen address that an earlier key has
// too. Port 0 is exempt, since it takes a free port.
func checkListeners(r *reader, names ...string) {
	first := map[string]string{}
	for _, name := range names {
		v, found := r.values[name]
		if !found {
			continue
		}
		a, err := netip.ParseAddrPort(v.text)
		if err != nil || a.Port() == 0 {
			continue
		}
		if other, taken := first[a.String()]; taken {
			r.add(v.line, name, "same address as "+other)
			continue
		}
		first[a.String()] = name
	}
}
