package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against changes that leave no quorum, skip a step of the repair, or overtake one another.
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

	// One voter is silent: removing the one that answers would leave no quorum.
	s.isolate(second.name, true)
	s.tickTimeouts(2)
	is.True(asError(leader.node.ProposeChange(Change{Kind: Remove, ID: first.id}), &invalid))

	// A new instance is promoted only when all voters answer, as the quorum grows.
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

	// A leader removes itself: it leads until that is committed, then another takes over.
	is.NoErr(leader.node.ProposeChange(Change{Kind: Remove, ID: leader.id}))
	s.process(leader)
	s.tickTimeouts(5)
	s.requireNoViolation()
	is.True(s.leader() != nil && s.leader() != leader)
	is.True(!s.leader().node.Configuration().Contains(leader.id))
}
