package edge

import (
	"context"
	"net"
	"net/http"
	"slices"

	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/placement"
)

// maxStartChecks is the number of connections on which a request may find that the start of its engine is not known. A
// new connection of its own may have gone to another request.
const maxStartChecks = 3

// roundTrip sends the request and returns the header of the response. A stream that goes on is sent only to the start of
// the engine that the list shows, as its version is known for that start alone.
func (x *exchange) roundTrip(ctx context.Context, engine placement.Engine) (*http.Response, *engineConnection, error) {
	if x.needsListedStart(engine) {
		ctx = enginelink.RequireBorn(ctx)
	}
	for check := 1; ; check++ {
		request, connection, err := x.engineRequest(ctx, engine)
		if err != nil {
			return nil, nil, &requestError{cause: err}
		}
		response, err := x.edge.transport.RoundTrip(request)
		if err == nil || !connection.abandoned.Load() || connection.offered.Load() || check == maxStartChecks {
			return response, connection, err
		}
	}
}

// abandon keeps the HTTP client from sending on a connection that it has just picked.
func abandon(connection net.Conn) {
	if c, ok := connection.(*enginelink.Connection); ok {
		c.Abandon()
		return
	}
	_ = connection.Close() // nothing was sent on it
}

// needsListedStart reports whether only the listed start of the engine may run the request.
func (x *exchange) needsListedStart(engine placement.Engine) bool {
	return x.pinnedVersion != "" && engine.Born != 0
}

// wasAsked reports whether the process at the other end of a connection was asked for its time of birth.
func wasAsked(connection net.Conn) bool {
	c, ok := connection.(*enginelink.Connection)
	return ok && c.Born() != 0
}

// isListedStart reports whether the process at the other end of a connection is the start of the engine that the list
// shows: it has said so, or a list shows that start which is of a time when the connection existed.
func (e *Edge) isListedStart(connection net.Conn, engine placement.Engine) bool {
	c, ok := connection.(*enginelink.Connection)
	if !ok {
		return false
	}
	if born := c.Born(); born != 0 {
		return born == engine.Born
	}
	list := e.directory.State()
	if list.ReadAt < c.Established.Add(e.options.Settings.Directory.Lag()) {
		return false
	}
	i := slices.IndexFunc(list.Engines, func(listed placement.Engine) bool { return listed.ID == engine.ID })
	return i >= 0 && list.Engines[i].Born == engine.Born
}
