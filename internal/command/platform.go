package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/core"
	"github.com/primrosebeam/primrosebeam/internal/edge"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/intake"
	"github.com/primrosebeam/primrosebeam/internal/logging"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

func init() {
	subcommands["edge"] = subcommand{"runs an entry instance on the platform", runEdge}
	subcommands["core"] = subcommand{"runs a control instance on the platform", runCore}
}

// runner is an instance on the platform. It runs until its context ends and then stops gracefully.
type runner interface{ Run(context.Context) error }

func runEdge(args []string, stdout, stderr io.Writer) int {
	return runOnPlatform("edge", args, stdout, stderr, func(o fleet.Options) (runner, error) {
		return edge.New(o)
	})
}

func runCore(args []string, stdout, stderr io.Writer) int {
	return runOnPlatform("core", args, stdout, stderr, func(o fleet.Options) (runner, error) {
		return core.New(o)
	})
}

// runOnPlatform parses the flags of a role, builds its process from the settings and runs the process until
// it is stopped.
func runOnPlatform(role string, args []string, stdout, stderr io.Writer, build func(fleet.Options) (runner, error)) int {
	flags := flag.NewFlagSet(role, flag.ContinueOnError)
	flags.SetOutput(stderr)
	keyFile := flags.String("shared-key", "", "file with the key that authenticates instances to each other")
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "settings file of the platform")
	list := flags.String("features", "", "optional parts of the placement, separated by commas")
	level := flags.String("log", "info", "least level of log lines: debug, info, warn or error")
	if !parseFlags(flags, args, func() bool { return *keyFile == "" || *path == "" || flags.NArg() > 0 }) {
		return ExitUsage
	}
	// Registered before the first line of the log: until then SIGHUP ends the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	logLevel, err := zerolog.ParseLevel(*level)
	if err != nil {
		fmt.Fprintln(stderr, "primrosebeam:", err)
		return ExitUsage
	}
	features, err := placement.ParseFeatures(*list)
	if err != nil {
		fmt.Fprintln(stderr, "primrosebeam:", err)
		return ExitUsage
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(stderr, "primrosebeam:", err)
		return ExitUsage
	}
	key, err := readSecret(*keyFile)
	if err != nil {
		fmt.Fprintln(stderr, "primrosebeam:", err)
		return ExitUsage
	}
	limitMemory(settings.Limits.MemoryMB)
	set := metrics.NewSet()
	logger, writer := logging.New(stdout, set, logLevel)
	defer writer.Close()
	logger = logger.With().Str("instance", settings.Name).Str("dataCentre", settings.DataCentre).Logger()
	logger.Info().Stringer("features", features).Msg("features of the placement")
	process, err := build(fleet.Options{
		Settings: settings, SharedKey: []byte(key), Features: features, Logger: logger, Metrics: set,
		ReadSeeds: func() ([]string, error) {
			current, err := platform.LoadSettings(*path)
			if err != nil {
				return nil, err
			}
			return current.SeedAddresses(), nil
		},
	})
	if err != nil {
		logger.Error().Err(err).Msg("failed to start")
		return ExitFailure
	}
	return runUntilStopped(process, settings, *path, reload, logger)
}

// limitMemory sets the Go memory limit for a process that may use the given number of mebibytes; 0 sets none.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(intake.HeapFraction * float64(megabytes) * (1 << 20)))
	}
}

// runUntilStopped runs a process until SIGTERM or SIGINT. On a signal in reload it reads the settings file and logs the
// seeds in it, but applies nothing: every other setting needs a restart to take effect, and the seeds are read again when
// they are needed, see fleet.Seeds.
func runUntilStopped(process runner, settings *platform.Settings, path string, reload <-chan os.Signal, logger zerolog.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-reload:
			}
			reloaded, err := platform.LoadSettings(path)
			if err != nil {
				logger.Error().Err(err).Msg("failed to read the settings again; the previous settings stay in effect")
				continue
			}
			logger.Info().Strs("seeds", reloaded.Seeds).Strs("formerSeeds", settings.Seeds).Msg("settings read again")
		}
	}()
	if err := process.Run(ctx); err != nil {
		logger.Error().Err(err).Msg("failed")
		return ExitFailure
	}
	logger.Info().Msg("stopped")
	return ExitSuccess
}

func init() {
	subcommands["check-platform"] = subcommand{"validates settings or a configuration of the platform", runCheckPlatform}
}

func runCheckPlatform(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("check-platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	settings := flags.String("settings", "", "settings `file` of a process")
	document := flags.String("configuration", "", "configuration `file` of an operator")
	if !parseFlags(flags, args, func() bool { return flags.NArg() > 0 || *settings == "" && *document == "" }) {
		return ExitUsage
	}
	code := ExitSuccess
	if *settings != "" {
		code = checkFile(*settings, func(data []byte) error { _, err := platform.DecodeSettings(data); return err }, stdout, stderr)
	}
	if *document != "" {
		code = max(code, checkFile(*document, func(data []byte) error { _, err := platform.DecodeDocument(data); return err }, stdout, stderr))
	}
	return code
}
