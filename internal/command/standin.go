package command

import (
	"fmt"
	"net"
	"net/http"

	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/settings"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/platform"
	"github.com/oleanderspool/oleanderspool/internal/standin/service"
)

// standinCommand runs one stand-in as a process.
type standinCommand struct {
	settingsFlag
	Models []string `long:"model" value-name:"MODEL" description:"Model that a started engine serves; may be repeated"`
}

func (c *standinCommand) run(env environment, args []string) error {
	if len(args) != 1 {
		return withCode(ExitUsage, fmt.Errorf("standin takes one argument: platform, engine or service"))
	}
	switch args[0] {
	case "platform":
		return c.runPlatform(env)
	case "engine":
		return c.runEngine(env)
	case "service":
		return c.runService(env)
	default:
		return withCode(ExitUsage, fmt.Errorf("unknown stand-in %q: not platform, engine or service", args[0]))
	}
}

func (c *standinCommand) runPlatform(env environment) error {
	s, err := readSettings(c.Settings, settings.ParsePlatform)
	if err != nil {
		return err
	}
	return serveStandin(env, s.Listen.String(), s.Log, newPlatform(s))
}

func newPlatform(s settings.Platform) *platform.Platform {
	return platform.New(
		platform.WithAppendRate(s.AppendsPerSec),
		platform.WithRetention(s.Retention),
		platform.WithInstanceLag(s.ListLag),
		platform.WithWeightRate(s.LoadsPerSec),
	)
}

func (c *standinCommand) runEngine(env environment) error {
	s, err := readSettings(c.Settings, settings.ParseEngine)
	if err != nil {
		return err
	}
	e := newEngine(s, c.Models)
	defer e.Close()
	return serveStandin(env, s.Listen.String(), s.Log, e)
}

func newEngine(s settings.Engine, models []string, options ...engine.Option) *engine.Engine {
	options = append([]engine.Option{
		engine.WithMemorySize(s.MemoryTokens),
		engine.WithPrefillRate(s.PrefillTokensPerMilli),
		engine.WithTokenTime(float64(s.StepDuration)),
		engine.WithBatchLimit(s.BatchSize),
		engine.WithLoadTime(s.LoadDuration),
		engine.WithReportInterval(s.ReportLag),
		engine.WithModels(models...),
	}, options...)
	if !s.Fencing {
		options = append(options, engine.WithoutFencing())
	}
	return engine.New(options...)
}

func (c *standinCommand) runService(env environment) error {
	s, err := readSettings(c.Settings, settings.ParseService)
	if err != nil {
		return err
	}
	server := service.New()
	if s.Latency > 0 {
		server.AddFault(standin.Fault{Kind: standin.FaultSlow, Path: "/", Delay: s.Latency})
	}
	return serveStandin(env, s.Listen.String(), s.Log, server)
}

func serveStandin(env environment, address string, log settings.Log, h http.Handler) error {
	logger, err := observe.NewLogger(env.stderr, log.Format, log.Level.String())
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	logger.Info("stand-in started", "address", l.Addr().String())
	return serveHTTP(env.ctx, l, h, logger)
}
