package e2e

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// reply is an answer with the error of the request.
type reply struct {
	answer answer
	err    error
}

// inBackground sends a request and returns where its answer will be.
func inBackground(send func() (answer, error)) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		a, err := send()
		replies <- reply{a, err}
	}()
	return replies
}

func (s *session) showReply(title string, from <-chan reply) {
	s.t.Helper()
	r := <-from
	s.show(title, r.answer, r.err)
}

// Guards against unnoticed changes of what a caller sees who sends an order again while it runs.
func TestGoldenResendDuringTheFirstAttempt(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 3, plains: 1, control: 3, ledgers: 1})
	s := &session{t: t}
	c.plain().steer(standin.PathFaults, standin.Faults{Hold: standin.HoldFirst})
	key := mint(t, c.members[1].callers)
	first := inBackground(func() (answer, error) { return order(c.members[1].callers, key, "2 sacks") })
	waitFor(t, "the order at its engine", func() bool { return c.plain().counts().Held == 1 })
	a, err := send(c.members[2].callers, http.MethodGet, "/v1/keys/"+key, smallToken, "", nil)
	s.show("state of the key while the order runs", a, err)
	again := inBackground(func() (answer, error) { return order(c.members[2].callers, key, "2 sacks") })
	c.plain().steer(standin.PathFaults, standin.Faults{})
	s.showReply("first attempt", first)
	s.showReply("resend during the first attempt", again)
	s.compare("resend-during")
}

// Guards against unnoticed changes of what callers and operators see of a data centre that is cut off.
func TestGoldenCutOfADataCentre(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 3, plains: 1, control: 3, ledgers: 3})
	s := &session{t: t}
	inside, outside := c.members[2], c.members[0]
	base := outside.version(t)
	c.cutOff(inside.centre, true)
	changed, err := outside.drain(t, "during-the-cut", base, "plain-0", true)
	s.showChange("change on the side with the quorum", changed, err)
	a, err := send(inside.callers, http.MethodGet, "/status/1", smallToken, "", nil)
	s.show("lookup inside, under the last version", a, err)
	key := mint(t, inside.callers)
	a, err = order(inside.callers, key, "order inside")
	s.show("order inside", a, err)
	c.cutOff(inside.centre, false)
	waitFor(t, "the change inside", func() bool { return inside.version(t) == changed.Version })
	waitFor(t, "the change everywhere", func() bool {
		changed, err = outside.operator(t).Outcome(context.Background(), "during-the-cut")
		return err == nil && changed.Outcome == control.OutcomeAccepted
	})
	s.showChange("asked again after the cut", changed, err)
	a, err = send(inside.callers, http.MethodGet, "/status/1", smallToken, "", nil)
	s.show("lookup inside, the engine drained", a, err)
	s.compare("cut-of-a-data-centre")
}

func (s *session) showChange(title string, answer control.ChangeResult, err error) {
	fmt.Fprintf(&s.text, "## %s\n%+v, error: %v\n\n", title, answer, err)
}

// Guards against unnoticed changes of what callers see of a planned stop with requests in progress.
func TestGoldenPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{members: 1, models: 1, plains: 1, control: 1, ledgers: 1, inFlight: 1})
	s := &session{t: t}
	m := c.members[0]
	for _, e := range c.engines {
		e.steer(standin.PathFaults, standin.Faults{Hold: standin.HoldFirst})
	}
	stream := inBackground(func() (answer, error) {
		return send(m.callers, http.MethodPost, "/v1/chat/completions", smallToken, chatBody(3, true), nil)
	})
	running := inBackground(func() (answer, error) { return order(m.callers, "", "running order") })
	waitFor(t, "requests at their engines", func() bool {
		return c.engines[0].counts().Held+c.engines[1].counts().Held == 2
	})
	waiting := inBackground(func() (answer, error) { return order(m.callers, "", "waiting order") })
	waitFor(t, "the waiting order", func() bool { return m.waitingFor(t, "orders") == 1 })
	m.signal(syscall.SIGTERM)
	for _, e := range c.engines {
		e.steer(standin.PathFaults, standin.Faults{})
	}
	s.showReply("stream in progress", stream)
	s.showReply("order in progress", running)
	s.showReply("order that waited", waiting)
	fmt.Fprintf(&s.text, "## exit code\n%d\n", m.waitExit(startTimeout))
	s.compare("planned-stop")
}
