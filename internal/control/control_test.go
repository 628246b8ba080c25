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

// violation reports an invariant that does not hold.
type violation struct{ what string }

func (e *violation) Error() string { return e.what }

// inSyntheticTime runs a check with the fake clock of testing/synctest, so that waiting takes no time and
// load on the machine cannot change the result.
func inSyntheticTime(t *testing.T, check func(t *testing.T, net *fakeNetwork) error) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNetwork()
		defer net.stopAll()
		err = check(t, net)
	})
	return err
}

func submit(net *fakeNetwork, at string, change configuration.Change) (ChangeResult, error) {
	return net.nodes[at].control.Submit(context.Background(), change)
}

// Guards against an accepted change that some instance does not have, and against one that takes over 1 s
// with nine instances and no faults.
func TestAcceptedIsInForceEverywhere(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		startSubscribedDataCentres(t, net)
		started := time.Now()
		result, err := submit(net, "i1-aarau", applyChange("first", 0))
		is.NoErr(err)
		is.Equal(result, ChangeResult{ChangeID: "first", Outcome: OutcomeAccepted, Version: 1})
		is.True(time.Since(started) < time.Second)
		for name, node := range net.nodes {
			if got := node.control.Version(); got != 1 {
				return &violation{fmt.Sprintf("%s has version %d", name, got)}
			}
		}
		return nil
	}))
}

// Guards against "accepted" while a data centre lacks the version, whether its instances count as live,
// count as failed, or are not known to the membership yet.
func TestPartitionedDataCentreIsReported(t *testing.T) {
	check := func(failed, unknown bool) func(t *testing.T, net *fakeNetwork) error {
		return func(t *testing.T, net *fakeNetwork) error {
			is := is.New(t)
			startThreeDataCentres(t, net, nil)
			time.Sleep(3 * time.Second)
			net.setPartitioned("olten", true)
			net.setMembershipEmpty(unknown)
			if failed {
				net.setFailed("r-olten", "i0-olten", "i1-olten")
			}
			return checkMissingThenHealed(is, net)
		}
	}
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, check(false, false)))
	is.NoErr(inSyntheticTime(t, check(true, false)))
	is.NoErr(inSyntheticTime(t, check(false, true)))

	var detected *violation
	err := inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		startThreeDataCentres(t, net, func(c *Control) {
			if c.publisher != nil {
				c.publisher.missing = missingWithoutGuard
			}
		})
		time.Sleep(3 * time.Second)
		net.setPartitioned("olten", true)
		return checkMissingThenHealed(is.New(t), net)
	})
	is.True(errors.As(err, &detected)) // the check fails when one instance with the version is enough
}

// missingWithoutGuard is versionTable.missing without its check per data centre: one instance with the
// version is enough.
func missingWithoutGuard(t versionTable, members []Member, _ []string, version configuration.Version) []string {
	for _, member := range members {
		if t.hasVersion(member.Name, version) {
			return nil
		}
	}
	return []string{"everywhere"}
}

func checkMissingThenHealed(is *is.I, net *fakeNetwork) error {
	started := time.Now()
	result, err := submit(net, "i0-bern", applyChange("first", 0))
	is.NoErr(err)
	if result.Outcome != OutcomeCommitted || fmt.Sprint(result.MissingIn) != "[olten]" {
		return &violation{fmt.Sprintf("olten lacks the version, but the result is %v", result)}
	}
	is.True(time.Since(started) >= 5*time.Second)
	is.True(time.Since(started) < 6*time.Second)
	is.Equal(net.nodes["i0-olten"].control.Version(), configuration.Version(0))
	net.setPartitioned("olten", false)
	net.setFailed()
	net.replicate(net.nodes["r-bern"])
	time.Sleep(5 * time.Second)
	result, err = net.nodes["i0-olten"].control.Outcome(context.Background(), "first")
	is.NoErr(err)
	is.Equal(result.Outcome, OutcomeAccepted)
	is.Equal(net.nodes["i1-olten"].control.Version(), configuration.Version(1))
	return nil
}

// lostReply returns a check that drops the first reply, changes the leader and expects the result of the
// first attempt.
func lostReply(rewrite func(link.Kind, []byte) []byte) func(t *testing.T, net *fakeNetwork) error {
	return func(t *testing.T, net *fakeNetwork) error {
		net.rewrite = rewrite
		startSubscribedDataCentres(t, net)
		net.repliesToDrop.Store(1)
		time.AfterFunc(20*time.Millisecond, func() {
			net.mu.Lock()
			defer net.mu.Unlock()
			net.leader = "r-olten"
		})
		result, err := submit(net, "i0-bern", applyChange("first", 0))
		if err != nil {
			return err
		}
		if result.Outcome != OutcomeAccepted || result.Version != 1 {
			return &violation{fmt.Sprintf("retry got %v", result)}
		}
		return nil
	}
}

// Guards against a retry, after a lost reply and a change of leader, that is evaluated as a new change.
func TestRetryAfterLostReply(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, lostReply(nil)))
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
	var detected *violation
	is.True(errors.As(inSyntheticTime(t, lostReply(newID)), &detected)) // fails when retries have new IDs
}

// Guards against two accepted changes that operators submit with the same base at different instances.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		startSubscribedDataCentres(t, net)
		results := make(chan ChangeResult)
		for i, name := range []string{"i0-bern", "i0-olten", "i0-aarau", "r-bern", "r-olten"} {
			go func() {
				result, err := submit(net, name, applyChange(fmt.Sprintf("race-%d", i), 0))
				if err != nil {
					t.Error(err)
				}
				results <- result
			}()
		}
		outcomes := map[Outcome]int{}
		for range 5 {
			result := <-results
			outcomes[result.Outcome]++
			is.Equal(result.Version, configuration.Version(1))
		}
		is.Equal(outcomes, map[Outcome]int{OutcomeAccepted: 1, OutcomeConflict: 4})
		return nil
	}))
}

// Guards against a change reported as not committed although it may be, a reply that takes longer than its
// timeout, and an ID that is used twice.
func TestLossOfQuorum(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		startSubscribedDataCentres(t, net)
		_, err := submit(net, "i0-bern", applyChange("first", 0))
		is.NoErr(err)
		other := applyChange("first", 1)
		_, err = submit(net, "i0-bern", other)
		var reused *configuration.ReusedIDError
		is.True(errors.As(err, &reused))
		_, err = net.nodes["i0-bern"].control.Outcome(context.Background(), "never")
		var unknown *UnknownChangeError
		is.True(errors.As(err, &unknown))

		net.setPartitioned("olten", true)
		net.setPartitioned("aarau", true)
		started := time.Now()
		result, err := submit(net, "i0-bern", applyChange("second", 1))
		is.NoErr(err)
		is.Equal(result.Outcome, OutcomeUndetermined) // the calls to the other replicas may have been received
		is.True(time.Since(started) <= DefaultTiming.SubmitTimeout+time.Second)
		result, err = net.nodes["i0-bern"].control.Outcome(context.Background(), "first")
		is.NoErr(err)
		is.Equal(result.Outcome, OutcomeUndetermined)
		state := net.nodes["i0-bern"].control.State()["control.subscriber"].(SubscriberState)
		is.True(state.UnreachableSince != nil) // the partition is detected without a leader
		is.Equal(state.Version, configuration.Version(1))
		return nil
	}))
}

// Guards against subscribers that lack a version for more than 5 s after the loss of their replica.
func TestSubscribersSurviveLossOfReplica(t *testing.T) {
	is := is.New(t)
	is.NoErr(inSyntheticTime(t, func(t *testing.T, net *fakeNetwork) error {
		is := is.New(t)
		startSubscribedDataCentres(t, net)
		net.remove("r-olten")
		started := time.Now()
		result, err := submit(net, "i0-olten", applyChange("first", 0))
		is.NoErr(err)
		is.Equal(result.Outcome, OutcomeAccepted)
		is.True(time.Since(started) < 5*time.Second)
		return nil
	}))
}
