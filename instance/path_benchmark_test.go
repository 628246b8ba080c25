package instance_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/histogram"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/instance"
	"github.com/primrosebeam/primrosebeam/label"
)

const benchmarkToken = "token-of-the-benchmark"

func benchmarkDocument(engine string) *configuration.Document {
	sum := sha256.Sum256([]byte(benchmarkToken))
	return &configuration.Document{
		Tiers:      []configuration.Tier{{Name: "urgent", QueueLimit: 1000}},
		Workspaces: []configuration.Workspace{{Name: "w", TokenSHA256: []string{hex.EncodeToString(sum[:])}}},
		Services: []configuration.Service{{
			Name: "orders", Kind: configuration.KindModel, Engines: "kind=plain",
			Routes: []configuration.Route{{Path: "/orders"}},
		}},
		Engines: []configuration.Engine{{
			Name: "e", URL: engine, DataCentre: "bern", Labels: label.Set{"kind": "plain"}, MaxInFlight: 256,
		}},
	}
}

// startInstance runs an instance until the benchmark ends and returns the address of its callers' listener.
func startInstance(b *testing.B, engine string) string {
	i, err := instance.New(instance.Options{
		Name: "a", DataCentre: "bern",
		Listen:        instance.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		OperatorToken: "operator-token-of-the-benchmark",
		Configuration: benchmarkDocument(engine),
		Limits: instance.Limits{
			HeaderBytes: 32 << 10, BodyBytes: 1 << 20, ResponseBytes: 1 << 20, Connections: 4096, Requests: 4096,
			ReadTimeout: 10 * time.Second,
		},
		Logger: zerolog.New(io.Discard),
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Run(ctx, context.Background()) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	address := "http://" + i.CallerAddress()
	for {
		response, err := http.Get(address + "/readyz")
		if err == nil && response.StatusCode == http.StatusOK {
			response.Body.Close()
			return address
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// forwarder is the baseline: a plain reverse proxy that forwards each request and copies the response.
func forwarder(engine string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, engine+r.URL.Path, r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		outgoing.ContentLength = r.ContentLength
		response, err := transport.RoundTrip(outgoing)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

func startEngine(b *testing.B) string {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte(`{"accepted":true}`))
	}))
	b.Cleanup(engine.Close)
	return engine.URL
}

type target struct {
	name  string
	start func(b *testing.B, engine string) string
}

var targets = []target{
	{"forwarder", func(b *testing.B, engine string) string {
		server := httptest.NewServer(forwarder(engine))
		b.Cleanup(server.Close)
		return server.URL
	}},
	{"instance", startInstance},
}

func post(client *http.Client, address string) error {
	request, err := http.NewRequest(http.MethodPost, address+"/orders", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+benchmarkToken)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// processorTime returns the CPU time that this process has used. It includes the client and the engine,
// which are the same for both targets.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkThroughput compares the requests per second of an instance with those of a plain forwarder.
func BenchmarkThroughput(b *testing.B) {
	for _, t := range targets {
		b.Run(t.name, func(b *testing.B) {
			address := t.start(b, startEngine(b))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
			b.SetParallelism(6)
			b.ResetTimer()
			before := processorTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := post(client, address); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/request")
		})
	}
}

// fixedRates holds the request rates per second of BenchmarkPacedLatency. Above the higher rate the client
// itself runs out of connections.
var fixedRates = []int{4000, 12000}

// BenchmarkPacedLatency reports the median and the 99th percentile of the latency at a fixed request rate.
// Requests are sent without waiting for earlier responses.
func BenchmarkPacedLatency(b *testing.B) {
	for _, rate := range fixedRates {
		for _, t := range targets {
			b.Run(fmt.Sprintf("%d/%s", rate, t.name), func(b *testing.B) {
				measureLatency(b, t.start(b, startEngine(b)), rate)
			})
		}
	}
}

func measureLatency(b *testing.B, address string, rate int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var mu sync.Mutex
	var seconds histogram.Fast
	var group sync.WaitGroup
	started := time.Now()
	for n := range b.N {
		due := started.Add(time.Duration(n) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		group.Go(func() {
			err := post(client, address)
			elapsed := time.Since(due).Seconds()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
			}
			seconds.Update(elapsed)
		})
	}
	group.Wait()
	b.ReportMetric(1e6*seconds.Quantile(0.5), "p50-us")
	b.ReportMetric(1e6*seconds.Quantile(0.99), "p99-us")
}

const streamEvents = 2000 // events per stream

// BenchmarkStream reports the events per second that an instance relays on one connection, and the CPU
// time per event, which includes that of the engine and the client.
func BenchmarkStream(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		out := bufio.NewWriterSize(w, 4<<10)
		for n := range streamEvents {
			fmt.Fprintf(out, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n", id, n)
		}
		fmt.Fprint(out, "data: [DONE]\n\n")
		_ = out.Flush()
	}))
	b.Cleanup(engine.Close)
	address := startInstance(b, engine.URL)
	client := &http.Client{Transport: &http.Transport{}}
	before := processorTime(b)
	for b.Loop() {
		if err := post(client, address); err != nil {
			b.Fatal(err)
		}
	}
	events := float64(b.N) * streamEvents
	b.ReportMetric(events/b.Elapsed().Seconds(), "events/s")
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/events, "cpu-ns/event")
}
