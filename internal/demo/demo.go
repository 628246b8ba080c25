// Package demo runs three instances and stand-in engines in one process on loopback ports. It sends a mixed
// load through the same HTTP and WebSocket connections as a real deployment and checks every response.
package demo

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/instance"
	"github.com/primrosebeam/primrosebeam/internal/standin"
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/strictjson"
)

const (
	modelEngines  = 4                    // number of stand-in model engines
	plainEngines  = 2                    // number of stand-in engines of the plain service
	tokenInterval = 2 * time.Millisecond // time between tokens of the faster model engines
	plainDelay    = 3 * time.Millisecond // response delay of the plain engines
	startTimeout  = 20 * time.Second     // time in which all instances must become ready
)

// dataCentres holds the data centre of each of the three instances.
var dataCentres = []string{"bern", "olten", "aarau"}

// Options configures a demo.
type Options struct {
	Duration time.Duration // how long load is sent
	Log      io.Writer     // receives the log lines of the instances
}

// NotReadyError reports an instance that was not ready within startTimeout or before the context ended.
type NotReadyError struct{ Instance string }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("demo: %s did not become ready", e.Instance)
}

// Run runs the demo and returns its measurements.
func Run(ctx context.Context, o Options) (*Report, error) {
	folder, err := os.MkdirTemp("", "primrosebeam-demo")
	if err != nil {
		return nil, fmt.Errorf("demo: data folder: %w", err)
	}
	defer os.RemoveAll(folder)
	engines, err := startEngines()
	if err != nil {
		return nil, err
	}
	defer engines.close()
	// The instances log from many goroutines, which an io.Writer need not support.
	fleet, err := startFleet(folder, engines, zerolog.SyncWriter(o.Log))
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	if err := fleet.waitReady(ctx); err != nil {
		return nil, err
	}
	load := newLoadGenerator(fleet.callers())
	load.run(ctx, o.Duration)
	return load.report(engines), nil
}

// engineSet holds the stand-in engines of a demo, their servers and their entries in the configuration.
type engineSet struct {
	models      []*standin.Model
	plains      []*standin.Plain
	definitions []configuration.Engine
	servers     []*http.Server
}

func startEngines() (*engineSet, error) {
	set := &engineSet{}
	for n := range modelEngines {
		model := standin.NewModel(standin.ModelOptions{
			Name:          fmt.Sprintf("model-%d", n),
			TokenInterval: tokenInterval * time.Duration(1+n%2), // every second engine is half as fast
		})
		set.models = append(set.models, model)
		if err := set.serve(fmt.Sprintf("model-%d", n), "model", model); err != nil {
			return nil, err
		}
	}
	for n := range plainEngines {
		plain := standin.NewPlain(fmt.Sprintf("orders-%d", n), plainDelay)
		set.plains = append(set.plains, plain)
		if err := set.serve(plain.Name, "plain", plain); err != nil {
			return nil, err
		}
	}
	return set, nil
}

func (s *engineSet) serve(name, kind string, handler http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("demo: engine: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	s.servers = append(s.servers, server)
	s.definitions = append(s.definitions, configuration.Engine{
		Name: name, URL: "http://" + listener.Addr().String(),
		DataCentre: dataCentres[len(s.definitions)%len(dataCentres)], Labels: label.Set{"kind": kind},
	})
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *engineSet) close() {
	for _, server := range s.servers {
		server.Close()
	}
}

// fleet holds the instances of a demo and stops them.
type fleet struct {
	instances []*instance.Instance
	cancel    context.CancelFunc
	done      []chan error
}

func startFleet(folder string, engines *engineSet, log io.Writer) (*fleet, error) {
	addresses, err := freeAddresses(len(dataCentres))
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	f := &fleet{cancel: stop}
	document := demoDocument(engines.definitions)
	for n := range dataCentres {
		i, err := instance.New(f.options(n, folder, addresses, document, log))
		if err != nil {
			f.stop()
			return nil, err
		}
		done := make(chan error, 1)
		go func() { done <- i.Run(running, context.Background()) }()
		f.instances = append(f.instances, i)
		f.done = append(f.done, done)
	}
	return f, nil
}

func (f *fleet) options(n int, folder string, addresses []string, document *configuration.Document, log io.Writer) instance.Options {
	roles := instance.Roles{Control: true, Ledger: true}
	name := instanceName(n)
	options := instance.Options{
		Name:          name,
		DataCentre:    dataCentres[n],
		Listen:        instance.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Instances: addresses[n]},
		Roles:         roles,
		DataFolder:    folder + "/" + name,
		SharedKey:     []byte("shared key of the demo"),
		OperatorToken: rand.Text(),
		Configuration: document,
		Limits: instance.Limits{
			HeaderBytes: 32 << 10, BodyBytes: 1 << 20, ResponseBytes: 1 << 20,
			Connections: 4096, Requests: 4096, ReadTimeout: 10 * time.Second,
		},
		Logger: zerolog.New(log).Level(zerolog.WarnLevel).With().Timestamp().Str("instance", name).Logger(),
	}
	for other, address := range addresses {
		if other != n {
			options.Peers = append(options.Peers, instance.Peer{
				Name: instanceName(other), DataCentre: dataCentres[other], Address: address, Roles: roles,
			})
		}
	}
	return options
}

func instanceName(n int) string { return dataCentres[n] + "-1" }

// freeAddresses returns n loopback addresses whose ports were free when it returned.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("demo: address: %w", err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func (f *fleet) callers() []string {
	var addresses []string
	for _, i := range f.instances {
		addresses = append(addresses, i.CallerAddress())
	}
	return addresses
}

func (f *fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for n, i := range f.instances {
		for !isReady(ctx, i.CallerAddress()) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return &NotReadyError{Instance: instanceName(n)}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *fleet) stop() {
	f.cancel()
	for _, done := range f.done {
		<-done
	}
}

// workspaces are the workspaces of the demo. The large ones have several times as many callers as the small
// ones.
var workspaces = []struct {
	name    string
	callers int // number of concurrent callers
}{
	{"large-1", 24}, {"large-2", 16}, {"small-1", 4}, {"small-2", 4}, {"small-3", 4},
}

func workspaceToken(workspace string) string { return "demo-token-" + workspace }

// demoDocument returns the configuration of the demo with the given engines.
func demoDocument(engines []configuration.Engine) *configuration.Document {
	idempotent := true
	d := &configuration.Document{
		Tiers: []configuration.Tier{
			{Name: "urgent", QueueLimit: 500, Deadline: strictjson.Duration(5 * time.Second),
				FirstToken: strictjson.Duration(420 * time.Millisecond), BetweenTokens: strictjson.Duration(52 * time.Millisecond)},
			{Name: "normal", QueueLimit: 500, Deadline: strictjson.Duration(20 * time.Second)},
			{Name: "batch", QueueLimit: 500, Deadline: strictjson.Duration(60 * time.Second)},
		},
		TierRules: []configuration.TierRule{
			{When: "route=/orders", Tier: "urgent"},
			{When: "work=report", Tier: "batch"},
			{When: "", Tier: "normal"},
		},
		Services: []configuration.Service{
			{Name: "chat", Kind: configuration.KindModel, Engines: "kind=model", Routes: []configuration.Route{
				{Path: "/v1/chat/completions", Methods: []string{http.MethodPost}, Idempotent: &idempotent},
			}},
			{Name: "orders", Kind: configuration.KindPlain, Engines: "kind=plain", Routes: []configuration.Route{
				{Path: "/orders"}, {Path: "/status/"},
			}},
		},
		Engines: engines,
	}
	for _, w := range workspaces {
		sum := sha256.Sum256([]byte(workspaceToken(w.name)))
		d.Workspaces = append(d.Workspaces, configuration.Workspace{Name: w.name, TokenSHA256: []string{hex.EncodeToString(sum[:])}})
	}
	return d
}
