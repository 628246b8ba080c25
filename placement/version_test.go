package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func versionEngines(versions ...string) []Engine {
	var list []Engine
	for i, version := range versions {
		list = append(list, Engine{ID: fmt.Sprint(i), Service: "s", Version: version, Slots: 1})
	}
	return list
}

// Guards against a stream that continues at another version because the engines of its own are busy.
func TestRequestWaitsForItsVersion(t *testing.T) {
	is := is.New(t)
	c := New()
	c.SetEngines(versionEngines("v1", "v2", "v2"))
	request := func(id string) Request {
		return Request{ID: RequestID(id), Service: "s", Version: "v1", PartlyDelivered: true, Deadline: time.Hour, FirstEventDeadline: time.Hour}
	}
	c.Enqueue(0, request("first"))
	c.Enqueue(0, request("second"))
	granted, rejected := c.Decide(0)
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Engine.Version, "v1")
	is.Equal(len(rejected), 0)
	c.End(time.Second, granted[0].Request, OutcomeCompleted, 1)
	granted, _ = c.Decide(time.Second)
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Engine.Version, "v1")
}

func TestRequestWithoutItsVersionIsRejected(t *testing.T) {
	is := is.New(t)
	c := New()
	request := Request{ID: "r", Service: "s", Version: "v1", PartlyDelivered: true, Deadline: time.Hour, FirstEventDeadline: time.Hour}
	c.Enqueue(0, request) // the list has not arrived
	_, rejected := c.Decide(0)
	is.Equal(len(rejected), 0)
	c.SetEngines(versionEngines("v2"))
	_, rejected = c.Decide(0)
	is.Equal(len(rejected), 1)
	is.Equal(rejected[0].Reason, ReasonNoVersion)
	c.Enqueue(0, request)
	_, rejected = c.Decide(0)
	is.Equal(len(rejected), 1)
	is.Equal(rejected[0].Reason, ReasonNoVersion)
}
