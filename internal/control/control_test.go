package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// violation reports a rule that a check found broken.
type violation struct{ what string }

func (e *violation) Error() string { return e.what }

// inVirtualTime runs a check with a clock of its own, so that waiting costs nothing and a busy
// machine cannot change the verdict.
func inVirtualTime(t *testing.T, check func(t *testing.T, net *fakeNet) error) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newNet()
		defer net.stopAll()
		err = check(t, net)
	})
	return err
}

func submit(net *fakeNet, at string, change configuration.Change) (ChangeResult, error) {
	return net.nodes[at].control.Submit(context.Background(), change)
}

// Guards against an accepted change that some instance does not have, and one that takes over 1 s
// in nine instances without faults.
func TestAcceptedIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		settledCentres(t, net)
		began := time.Now()
		answer, err := submit(net, "i1-aarau", applyChange("first", 0))
		is.NoErr(err)
		is.Equal(answer, ChangeResult{ChangeID: "first", Outcome: OutcomeAccepted, Version: 1})
		is.True(time.Since(began) < time.Second)
		for name, node := range net.nodes {
			if got := node.control.Version(); got != 1 {
				return &violation{fmt.Sprintf("%s has version %d", name, got)}
			}
		}
		return nil
	}))
}

// Guards against "accepted" while one data centre lacks the version, whether its instances count
// as live, as failed, or are not known to the membership yet.
func TestPartitionedDataCentreIsNamed(t *testing.T) {
	check := func(failed, unknown bool) func(t *testing.T, net *fakeNet) error {
		return func(t *testing.T, net *fakeNet) error {
			is := is.New(t)
			threeCentres(t, net, nil)
			time.Sleep(3 * time.Second)
			net.setCut("olten", true)
			net.setUnknown(unknown)
			if failed {
				net.setFailed("r-olten", "i0-olten", "i1-olten")
			}
			return namedAndHealed(is, net)
		}
	}
	is := is.New(t)
	is.NoErr(inVirtualTime(t, check(false, false)))
	is.NoErr(inVirtualTime(t, check(true, false)))
	is.NoErr(inVirtualTime(t, check(false, true)))

	var broken *violation
	err := inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		threeCentres(t, net, func(c *Control) {
			if c.publisher != nil {
				c.publisher.missing = anyInstance
			}
		})
		time.Sleep(3 * time.Second)
		net.setCut("olten", true)
		return namedAndHealed(is.New(t), net)
	})
	is.True(errors.As(err, &broken)) // the check fails when one instance anywhere is enough
}

// anyInstance is table.missing without the guard: any instance that has the version will do.
func anyInstance(t table, members []Member, _ []string, version configuration.Version) []string {
	for _, member := range members {
		if t.has(member.Name, version) {
			return nil
		}
	}
	return []string{"everywhere"}
}

func namedAndHealed(is *is.I, net *fakeNet) error {
	began := time.Now()
	answer, err := submit(net, "i0-bern", applyChange("first", 0))
	is.NoErr(err)
	if answer.Outcome != OutcomeCommitted || fmt.Sprint(answer.MissingIn) != "[olten]" {
		return &violation{fmt.Sprintf("olten lacks the version, but the answer is %v", answer)}
	}
	is.True(time.Since(began) >= 5*time.Second)
	is.True(time.Since(began) < 6*time.Second)
	is.Equal(net.nodes["i0-olten"].control.Version(), configuration.Version(0))
	net.setCut("olten", false)
	net.setFailed()
	net.replicate(net.nodes["r-bern"])
	time.Sleep(5 * time.Second)
	answer, err = net.nodes["i0-olten"].control.Outcome(context.Background(), "first")
	is.NoErr(err)
	is.Equal(answer.Outcome, OutcomeAccepted)
	is.Equal(net.nodes["i1-olten"].control.Version(), configuration.Version(1))
	return nil
}

// lostAnswer loses the first answer and changes the leader, then expects the first result.
func lostAnswer(rewrite func(link.Kind, []byte) []byte) func(t *testing.T, net *fakeNet) error {
	return func(t *testing.T, net *fakeNet) error {
		net.rewrite = rewrite
		settledCentres(t, net)
		net.dropReply.Store(1)
		time.AfterFunc(20*time.Millisecond, func() {
			net.mu.Lock()
			defer net.mu.Unlock()
			net.leader = "r-olten"
		})
		answer, err := submit(net, "i0-bern", applyChange("first", 0))
		if err != nil {
			return err
		}
		if answer.Outcome != OutcomeAccepted || answer.Version != 1 {
			return &violation{fmt.Sprintf("resend got %v", answer)}
		}
		return nil
	}
}

// Guards against a resend after a lost answer and a change of leader that is judged anew.
func TestLostAnswerIsRepeated(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, lostAnswer(nil)))
	attempts := 0
	newID := func(kind link.Kind, body []byte) []byte {
		if kind != KindSubmit {
			return body
		}
		attempts++
		var request submitRequest
		is.NoErr(cbor.Unmarshal(body, &request))
		change, err := configuration.DecodeChange(request.Change)
		is.NoErr(err)
		change.ID = fmt.Sprintf("attempt-%d", attempts)
		request.Change, err = configuration.EncodeChange(change)
		is.NoErr(err)
		changed, err := cbor.Marshal(request)
		is.NoErr(err)
		return changed
	}
	var broken *violation
	is.True(errors.As(inVirtualTime(t, lostAnswer(newID)), &broken)) // the check fails when resends have new IDs
}

// Guards against operators with the same base at different instances who are both accepted.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		settledCentres(t, net)
		answers := make(chan ChangeResult)
		for i, name := range []string{"i0-bern", "i0-olten", "i0-aarau", "r-bern", "r-olten"} {
			go func() {
				answer, err := submit(net, name, applyChange(fmt.Sprintf("race-%d", i), 0))
				if err != nil {
					t.Error(err)
				}
				answers <- answer
			}()
		}
		outcomes := map[Outcome]int{}
		for range 5 {
			answer := <-answers
			outcomes[answer.Outcome]++
			is.Equal(answer.Version, configuration.Version(1))
		}
		is.Equal(outcomes, map[Outcome]int{OutcomeAccepted: 1, OutcomeConflict: 4})
		return nil
	}))
}

// Guards against a change that is denied although it may have been committed, an answer that
// takes longer than stated, and an ID that is used twice.
func TestLossOfQuorum(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		settledCentres(t, net)
		_, err := submit(net, "i0-bern", applyChange("first", 0))
		is.NoErr(err)
		other := applyChange("first", 1)
		_, err = submit(net, "i0-bern", other)
		var reused *configuration.ReusedIDError
		is.True(errors.As(err, &reused))
		_, err = net.nodes["i0-bern"].control.Outcome(context.Background(), "never")
		var unknown *UnknownChangeError
		is.True(errors.As(err, &unknown))

		net.setCut("olten", true)
		net.setCut("aarau", true)
		began := time.Now()
		answer, err := submit(net, "i0-bern", applyChange("second", 1))
		is.NoErr(err)
		is.Equal(answer.Outcome, OutcomeUndetermined) // calls to the others may have arrived
		is.True(time.Since(began) <= DefaultTiming.SubmitTimeout+time.Second)
		answer, err = net.nodes["i0-bern"].control.Outcome(context.Background(), "first")
		is.NoErr(err)
		is.Equal(answer.Outcome, OutcomeUndetermined)
		state := net.nodes["i0-bern"].control.State()["control.subscriber"].(SubscriberState)
		is.True(state.UnreachableSince != nil) // the partition is noticed without a leader
		is.Equal(state.Version, configuration.Version(1))
		return nil
	}))
}

// Guards against the loss of a replica that leaves its subscribers behind for more than 5 s.
func TestSubscribersSurviveLossOfReplica(t *testing.T) {
	is := is.New(t)
	is.NoErr(inVirtualTime(t, func(t *testing.T, net *fakeNet) error {
		is := is.New(t)
		settledCentres(t, net)
		net.remove("r-olten")
		began := time.Now()
		answer, err := submit(net, "i0-olten", applyChange("first", 0))
		is.NoErr(err)
		is.Equal(answer.Outcome, OutcomeAccepted)
		is.True(time.Since(began) < 5*time.Second)
		return nil
	}))
}
