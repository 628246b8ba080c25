package edge

import (
	"errors"
	"net"
	"slices"

	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

// needsListedStart reports whether only the listed start of the engine may run the request. A stream that goes on is sent
// only to the start of the engine that the list shows, as its version is known for that start alone.
func (x *exchange) needsListedStart(engine placement.Engine) bool {
	return x.pinnedVersion != "" && engine.Born != 0
}

// isOtherStart reports whether err states that there is no connection to the start of the engine that the list shows.
func isOtherStart(err error) bool {
	var unusable *enginelink.UnusableError
	var unidentified *platform.ReportError
	return errors.As(err, &unusable) || errors.As(err, &unidentified)
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
