package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/instance"
	"github.com/primrosebeam/primrosebeam/internal/settings"
)

func init() {
	subcommands["run"] = subcommand{"runs an instance", runRun}
}

func runRun(args []string, _, stderr io.Writer) int {
	flags := flag.NewFlagSet("run", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings file of this instance")
	if !parseFlags(flags, args, func() bool { return *path == "" || flags.NArg() > 0 }) {
		return ExitUsage
	}
	s, err := settings.Load(*path)
	if err != nil {
		printFaults(stderr, *path, err)
		return ExitUsage
	}
	options, err := instanceOptions(s, stderr)
	if err != nil {
		printFaults(stderr, *path, err)
		return ExitUsage
	}
	if err := runInstance(options, s); err != nil {
		options.Logger.Error().Err(err).Msg("instance failed")
		return ExitFailure
	}
	return ExitSuccess
}

// runInstance runs an instance until the first SIGTERM or SIGINT, and then stops it gracefully. A second
// signal or the end of the stop timeout forces the stop.
func runInstance(options instance.Options, s *settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	running, requestStop := context.WithCancel(context.Background())
	defer requestStop()
	force, forceStop := context.WithCancel(context.Background())
	defer forceStop()
	go func() {
		<-signals
		timeout, cancel := context.WithTimeout(context.Background(), s.StopTimeout.Std())
		defer cancel()
		requestStop()
		select {
		case <-signals:
		case <-timeout.Done():
		}
		forceStop()
	}()
	i, err := instance.New(options)
	if err != nil {
		return err
	}
	return i.Run(running, force)
}

func instanceOptions(s *settings.Settings, logOutput io.Writer) (instance.Options, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return instance.Options{}, fmt.Errorf("command: log level: %w", err)
	}
	options := instance.Options{
		Name:       s.Name,
		DataCentre: s.DataCentre,
		Listen:     instance.Listen{Callers: s.Listen.Callers, Operators: s.Listen.Operators, Instances: s.Listen.Instances},
		Roles:      instanceRoles(s.Roles),
		DataFolder: s.DataFolder,
		Limits: instance.Limits{
			HeaderBytes: s.Limits.HeaderBytes, BodyBytes: s.Limits.BodyBytes, ResponseBytes: s.Limits.ResponseBytes,
			Connections: s.Limits.Connections, Requests: s.Limits.Requests, ReadTimeout: s.Limits.ReadTimeout.Std(),
			MemoryMB: s.Limits.MemoryMB,
		},
		Logger: zerolog.New(zerolog.SyncWriter(logOutput)).Level(level).With().Timestamp().Str("instance", s.Name).Str("dataCentre", s.DataCentre).Logger(),
	}
	for _, p := range s.Peers {
		options.Peers = append(options.Peers, instance.Peer{
			Name: p.Name, DataCentre: p.DataCentre, Address: p.Address, Roles: instanceRoles(p.Roles),
		})
	}
	return options, readFiles(s, &options)
}

func instanceRoles(names []string) instance.Roles {
	return instance.Roles{
		Control: slices.Contains(names, settings.RoleControl),
		Ledger:  slices.Contains(names, settings.RoleLedger),
	}
}

// readFiles adds the contents of the files that the settings name: the secrets and the initial configuration.
func readFiles(s *settings.Settings, options *instance.Options) error {
	token, err := readSecret(s.OperatorTokenFile)
	if err != nil {
		return err
	}
	options.OperatorToken = token
	if s.SharedKeyFile != "" {
		key, err := readSecret(s.SharedKeyFile)
		if err != nil {
			return err
		}
		options.SharedKey = []byte(key)
	}
	if s.InitialConfiguration == "" {
		return nil
	}
	data, err := os.ReadFile(s.InitialConfiguration)
	if err != nil {
		return fmt.Errorf("command: initial configuration: %w", err)
	}
	if options.Configuration, err = configuration.Parse(data); err != nil {
		return fmt.Errorf("command: initial configuration %s:\n%w", s.InitialConfiguration, err)
	}
	return nil
}

// minSecretBytes is the minimum length of a secret; it rejects empty and truncated files.
const minSecretBytes = 16

// SecretError reports a file whose secret has fewer than minSecretBytes bytes.
type SecretError struct{ Path string }

func (e *SecretError) Error() string {
	return fmt.Sprintf("command: %s: a secret needs at least %d bytes", e.Path, minSecretBytes)
}

// readSecret reads a secret from a file and removes white space around it.
func readSecret(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("command: secret: %w", err)
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minSecretBytes {
		return "", &SecretError{Path: path}
	}
	return secret, nil
}
