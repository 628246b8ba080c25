package edge

import (
	"errors"
	"slices"

	"github.com/primrosebeam/primrosebeam/internal/enginelink"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

// needsListedStart reports whether only the listed start of the engine may run the request. A stream that goes on, or that
// may go on later, is sent only to the start of the engine that the list shows, as its version is known for that start
// alone.
func (x *exchange) needsListedStart(engine placement.Engine) bool {
	return (x.pinnedVersion != "" || x.isStream() && x.route.Resume) && engine.Born != 0
}

// mayBeginUnidentified reports whether the request may be sent to an engine that does not know the question for its time
// of birth, as err states. Nothing but the list tells its version then. A stream that has begun needs more than that.
func (x *exchange) mayBeginUnidentified(err error) bool {
	var unidentified *platform.ReportError
	return x.pinnedVersion == "" && errors.As(err, &unidentified) && unidentified.IsUnknownQuestion()
}

// isOtherStart reports whether err states that there is no connection to the start of the engine that the list shows.
func isOtherStart(err error) bool {
	var unusable *enginelink.UnusableError
	var unidentified *platform.ReportError
	return errors.As(err, &unusable) || errors.As(err, &unidentified)
}

// isListedStart reports whether the process at the other end of a connection is the start of the engine that the list
// shows: it has stated its time of birth, or a list shows that start which is of a time when the connection existed.
func (e *Edge) isListedStart(c *enginelink.Connection, engine placement.Engine) bool {
	_, isListed := e.startOf(c, engine)
	return isListed
}

// isBesideListedStart is isListedStart for streams that begin. Another connection to the listed start that is still open
// shows it too: the end of the process would have closed it, so that the engine has not started again before this
// connection was established. That fails where the end was lost on its way, so what goes on relies on more.
func (e *Edge) isBesideListedStart(c *enginelink.Connection, engine placement.Engine) bool {
	if known, isListed := e.startOf(c, engine); known {
		return isListed
	}
	return e.pool.HasOpen(engine.Address, func(other *enginelink.Connection) bool { return e.isListedStart(other, engine) })
}

// startOf returns whether a connection tells by itself which process is at its other end, and whether that is the listed
// start of the engine.
func (e *Edge) startOf(c *enginelink.Connection, engine placement.Engine) (known, isListed bool) {
	if born := c.Born(); born != 0 {
		return true, born == engine.Born
	}
	list := e.directory.State()
	if list.ReadAt < c.Established.Add(e.options.Settings.Directory.Lag()) {
		return false, false
	}
	i := slices.IndexFunc(list.Engines, func(listed placement.Engine) bool { return listed.ID == engine.ID })
	return true, i >= 0 && list.Engines[i].Born == engine.Born
}
