package fleet

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

// Options are the dependencies of a process of either role.
type Options struct {
	Settings  *platform.Settings
	SharedKey []byte
	Logger    zerolog.Logger
	Metrics   *metrics.Set
	// Features are the optional parts of the placement. All instances of a deployment have the same ones.
	Features placement.Features
	// DialEngine replaces the way in which an entry instance opens connections to engines, in tests; nil otherwise.
	DialEngine func(ctx context.Context, network, address string) (net.Conn, error)
	// ReadSeeds reads the instances that the settings name now; nil if the settings don't change.
	ReadSeeds func() ([]string, error)
}

// NewLink creates the link node of the process, which connects it to the other instances. The name of an
// instance is the IP address of its machine, which is unique and to which other instances connect.
func (o *Options) NewLink(maxFrameBytes int) (*link.Node, error) {
	s := o.Settings
	return link.New(link.Options{
		Name: s.Address.String(), DataCentre: s.DataCentre, Incarnation: uint64(time.Now().UnixNano()),
		SharedKey: o.SharedKey, ListenAddress: s.Links, MaxFrameBytes: maxFrameBytes,
		Resolve: o.resolve,
		Logger:  o.Logger, Metrics: o.Metrics,
	})
}

func (o *Options) resolve(name string) (string, bool) {
	if _, err := netip.ParseAddr(name); err != nil {
		return "", false
	}
	return o.Settings.LinkAddress(name), true
}
