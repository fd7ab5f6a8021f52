package command

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clientconn"
	"github.com/oleanderspool/oleanderspool/internal/clientlimit"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// stopBound bounds how long the HTTP servers wait for their last connections.
const stopBound = 5 * time.Second

// settingsFlag names the settings file of a role.
type settingsFlag struct {
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"TOML settings of the process"`
}

// readSettings reads a settings file with one of the parse functions.
func readSettings[T any](file string, parse func(string, []byte) (T, error)) (T, error) {
	var none T
	data, err := os.ReadFile(file)
	if err != nil {
		return none, err
	}
	value, err := parse(file, data)
	return value, withCode(ExitInvalid, err)
}

// reloadSettings reads a settings file again and logs whether it is valid. A process
// uses the settings that it was started with.
func reloadSettings[T any](file string, parse func(string, []byte) (T, error), logger *slog.Logger) {
	if _, err := readSettings(file, parse); err != nil {
		logger.Error("reload", "error", err.Error())
		return
	}
	logger.Info("reload", "settings", "valid; used from the next start on")
}

func listen(address netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", address.String())
}

// status is what the admin address shows of a process.
type status struct {
	Role        string
	Instance    string
	DataCentre  string
	Incarnation string
	Revision    int64
	Ready       bool
	Version     string
}

// adminHandler serves the operators' address of a process.
func adminHandler(m *observe.Metrics, current func() status) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(statusJSON(current()))
	})
	return mux
}

// serveHTTP serves a handler on l until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler, logger *slog.Logger) error {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: stopBound,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	return runHTTP(ctx, server, l)
}

const (
	// adminHeader bounds the header of a request to an address that serves only probes
	// or metrics, in bytes.
	adminHeader = 8 << 10
	// adminIdleTimeout is the idle timeout of its connections.
	adminIdleTimeout = 30 * time.Second
	// adminSweepInterval is the interval between two checks of its connections.
	adminSweepInterval = oleanderspool.Second
)

// serveLimited is serveHTTP for an address that callers out of control may reach.
func serveLimited(ctx context.Context, l net.Listener, h http.Handler, time oleanderspool.Clock, logger *slog.Logger, metrics *observe.Metrics) error {
	guard := clientconn.NewGuard(clientlimit.ForAdmin(), time, observe.NewTally(time, logger, metrics, "client limit of a probe or metrics address reached"))
	server := &http.Server{
		Handler:        h,
		ReadTimeout:    stopBound,
		WriteTimeout:   2 * stopBound,
		IdleTimeout:    adminIdleTimeout,
		MaxHeaderBytes: adminHeader,
		ErrorLog:       slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	guard.Install(server)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runHTTP(ctx, server, guard.Listen(l)) })
	group.Go(func() error {
		clock.Every(ctx, adminSweepInterval, nil, func() {
			guard.Sweep(oleanderspool.MillisOf(stopBound), oleanderspool.MillisOf(adminIdleTimeout))
		})
		return nil
	})
	return group.Wait()
}

// runHTTP runs a server on l until ctx ends.
func runHTTP(ctx context.Context, server *http.Server, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopBound)
		defer cancel()
		if server.Shutdown(bounded) != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}
