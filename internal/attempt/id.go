package attempt

import (
	"strconv"
	"strings"

	"github.com/oleanderspool/oleanderspool"
)

// Class determines how long an agent must remember that an attempt ran.
type Class int

// The classes of attempt.
const (
	// ClassUnkeyed attempts are looked up only for a short time after their end.
	ClassUnkeyed Class = iota
	// ClassKeyed attempts run under a claim and are looked up until the key expires.
	ClassKeyed

	classCount = 2
)

var classNames = [classCount]string{ClassUnkeyed: "u", ClassKeyed: "k"}

// NewID returns an attempt ID. issued is the latest instant that the agent has
// reported by its own clock; the agent refuses to start the attempt once
// [Limits.StartWindow] has passed since then. unique must be unique in the
// fleet for each class and instant. The instant is part of the ID so that no
// message or claim can name the attempt with a different instant.
func NewID(class Class, issued oleanderspool.Millis, unique string) oleanderspool.AttemptID {
	return oleanderspool.AttemptID(classNames[class] + "." + strconv.FormatInt(int64(issued), 10) + "." + unique)
}

// ParseID returns the class of an attempt ID and the instant at which it was
// issued. It returns false for an ID that [NewID] cannot return.
func ParseID(id oleanderspool.AttemptID) (Class, oleanderspool.Millis, bool) {
	name, rest, _ := strings.Cut(string(id), ".")
	digits, unique, found := strings.Cut(rest, ".")
	issued, err := strconv.ParseInt(digits, 10, 64)
	if !found || unique == "" || err != nil || issued < 0 || strconv.FormatInt(issued, 10) != digits {
		return 0, 0, false
	}
	for class, known := range classNames {
		if known == name {
			return Class(class), oleanderspool.Millis(issued), true
		}
	}
	return 0, 0, false
}
