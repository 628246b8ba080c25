package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against membership changes that leave no responsive quorum, skip a required step, or overlap with an
// uncommitted change.
func TestInvalidChangesAreRejected(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 21, "a", "b", "c")
	leader := s.elect()
	first, second := s.followers(leader)[0], s.followers(leader)[1]
	var invalid *InvalidChangeError
	for _, change := range []Change{
		{Kind: AddLearner, ID: first.id},
		{Kind: AddLearner, ID: ID{"", 1}},
		{Kind: Promote, ID: ID{"x", 1}},
		{Kind: Remove, ID: ID{"x", 1}},
		{Kind: 9, ID: first.id},
	} {
		before := leader.node.LastIndex()
		is.True(asError(leader.node.ProposeChange(change), &invalid))
		is.Equal(leader.node.LastIndex(), before)
	}

	// One voter does not respond: removing the responsive one would leave no quorum.
	s.isolate(second.name, true)
	s.tickTimeouts(2)
	is.True(asError(leader.node.ProposeChange(Change{Kind: Remove, ID: first.id}), &invalid))

	// A new instance is promoted only when all voters respond, because the quorum becomes larger.
	x := s.add("x").id
	is.NoErr(leader.node.ProposeChange(Change{Kind: AddLearner, ID: x}))
	var pendingChange *ChangePendingError
	is.True(asError(leader.node.ProposeChange(Change{Kind: Remove, ID: second.id}), &pendingChange))
	s.process(leader)
	s.tickTimeouts(5)
	is.True(leader.node.Configuration().IsLearner(x))
	s.isolate(second.name, false)
	s.tickTimeouts(5)
	is.True(leader.node.Configuration().IsVoter(x))

	// A leader removes itself. It remains the leader until the change is committed; then another one is
	// elected.
	is.NoErr(leader.node.ProposeChange(Change{Kind: Remove, ID: leader.id}))
	s.process(leader)
	s.tickTimeouts(5)
	s.requireNoViolation()
	is.True(s.leader() != nil && s.leader() != leader)
	is.True(!s.leader().node.Configuration().Contains(leader.id))
}
