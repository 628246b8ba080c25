package edge

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
	"github.com/primrosebeam/primrosebeam/routing"
)

// controlStub answers Attach calls by the name of the control instance that is asked.
type controlStub struct {
	mu      sync.Mutex
	answers map[string]fleet.Attached
	errors  map[string]error
	asked   []string
}

func (c *controlStub) Send(string, link.Kind, any) error { return nil }

func (c *controlStub) Call(_ context.Context, to string, _ link.Kind, _, reply any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, to)
	if err := c.errors[to]; err != nil {
		return err
	}
	*reply.(*fleet.Attached) = c.answers[to]
	return nil
}

func document(version int) []byte { return standin.Document(version, standin.WorkspaceKey) }

func newTestMember(t *testing.T, stub *controlStub, seeds ...string) *member {
	t.Helper()
	o := Options{
		Settings: &platform.Settings{DataCentre: "a", Seeds: seeds, Bounds: platform.Bounds{RevokeWithin: time.Second}},
		Logger:   zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	list := directory.New(directory.Options{Changed: func([]placement.Engine) {}, Metrics: o.Metrics, Logger: o.Logger})
	return newMember(o, stub, list, func(*routing.Table) {})
}

// Guards against an instance that stays with a control instance of its own data centre that is cut off
// from the others: it went on with a configuration whose keys had been taken away (hunted day on riga,
// seed 99f0-3).
func TestMemberLeavesControlInstanceWithoutQuorum(t *testing.T) {
	is := is.New(t)
	stub := &controlStub{answers: map[string]fleet.Attached{
		"10.0.0.1": {DataCentre: "a", Number: 1, Content: document(1)},
		"10.0.0.2": {DataCentre: "b", Number: 2, Content: document(2), Confirmed: 2, IsConfirmed: true, Leader: "10.0.0.2"},
	}}
	m := newTestMember(t, stub, "10.0.0.1:1", "10.0.0.2:1")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	go m.Run(ctx)
	for m.leaseLeft() <= 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	is.NoErr(ctx.Err())
	is.Equal(m.table.Load().Number, routing.Number(2))
	is.Equal(m.target(), "10.0.0.2")
}

// Guards against a lease that is renewed by an answer that no quorum confirmed, or by one that confirms
// a newer configuration than the one in force here.
func TestLeaseNeedsConfirmationOfTheConfigurationInForce(t *testing.T) {
	is := is.New(t)
	stub := &controlStub{answers: map[string]fleet.Attached{
		"10.0.0.1": {Number: 1, Content: document(1), Confirmed: 1},
	}}
	m := newTestMember(t, stub, "10.0.0.1:1")
	is.True(m.attach(t.Context(), "10.0.0.1") != nil) // not confirmed
	is.True(m.leaseLeft() < 0)
	stub.answers["10.0.0.1"] = fleet.Attached{Confirmed: 2, IsConfirmed: true}
	is.NoErr(m.attach(t.Context(), "10.0.0.1"))
	is.True(m.leaseLeft() < 0) // version 2 is stored, version 1 is in force
	stub.answers["10.0.0.1"] = fleet.Attached{Number: 2, Content: document(2), Confirmed: 2, IsConfirmed: true}
	is.NoErr(m.attach(t.Context(), "10.0.0.1"))
	is.True(m.leaseLeft() > 0)
	is.True(m.leaseLeft() <= time.Second-leaseMargin)
}

// Guards against a configuration that is replaced by an older one.
func TestMemberNeverRegresses(t *testing.T) {
	is := is.New(t)
	stub := &controlStub{answers: map[string]fleet.Attached{}}
	m := newTestMember(t, stub, "10.0.0.1:1")
	is.NoErr(m.install(3, document(3)))
	is.NoErr(m.install(2, document(2)))
	is.Equal(m.table.Load().Number, routing.Number(3))
}
