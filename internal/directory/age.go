package directory

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
)

// ageCheckInterval is the interval at which the ages are compared with their bounds.
const ageCheckInterval = 500 * oleanderspool.Millis(1)

// knowledge is something that a view knows, with the longest age that it may have.
type knowledge struct {
	name   string
	age    func(now oleanderspool.Millis) oleanderspool.Millis
	maxAge oleanderspool.Millis // 0 for none
	old    bool
}

// RunAgeChecks logs when the configuration or the registry becomes older than its bound,
// and when it is current again, until ctx ends.
func (f *Follower) RunAgeChecks(ctx context.Context) {
	known := []*knowledge{
		{name: "configuration", age: f.view.ConfirmationAge, maxAge: f.budget.MaxConfigurationAge},
		{name: "servers", age: f.view.ServersAge, maxAge: f.budget.MaxServersAge},
	}
	clock.Every(ctx, ageCheckInterval, nil, func() {
		for _, k := range known {
			f.checkAge(k)
		}
	})
}

func (f *Follower) checkAge(k *knowledge) {
	age := k.age(f.clock.Now())
	old := k.maxAge > 0 && age > k.maxAge
	if old == k.old {
		return
	}
	k.old = old
	if old {
		f.logger.Warn("knowledge too old", "feed", k.name, "age_ms", int64(age), "max_ms", int64(k.maxAge))
		return
	}
	f.logger.Info("knowledge current again", "feed", k.name, "age_ms", int64(age))
}
