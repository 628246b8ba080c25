// Package consensus implements the Raft state machine of a replicated log: leader election with pre-vote,
// replication, quorum commit, linearizable reads, snapshots and membership changes through the log.
//
// The package performs no I/O and uses no clock, goroutines or global random source. A driver passes messages
// to Node.Step, clock ticks to Node.Tick and commands to Node.Propose. It then takes a Ready, processes it in
// the order persist, send, apply, and confirms it with Node.Advance.
package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// ID identifies a replica by the name of its instance and the incarnation stored on its disk. A replica
// that lost its disk returns with a higher incarnation, so that votes and acknowledgements given before the
// loss can never be contradicted under the same ID.
type ID struct {
	Instance    string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"` // as a destination, 0 addresses any incarnation
}

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Instance, id.Incarnation) }

// Compare orders IDs by instance, then by incarnation.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Instance, other.Instance), cmp.Compare(id.Incarnation, other.Incarnation))
}

// Configuration is the set of replicas of the log. Learners receive entries but neither vote nor count
// towards a quorum. An instance has at most one voter and one learner. When it has both, the learner is the
// newer incarnation that will replace the voter.
type Configuration struct {
	Voters   []ID `cbor:"1,keyasint,omitempty"` // sorted
	Learners []ID `cbor:"2,keyasint,omitempty"` // sorted
}

// IsVoter reports whether id is a voter, which counts towards a quorum.
func (c Configuration) IsVoter(id ID) bool { return slices.Contains(c.Voters, id) }

// IsLearner reports whether id is a learner, which receives entries without counting towards a quorum.
func (c Configuration) IsLearner(id ID) bool { return slices.Contains(c.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (c Configuration) Contains(id ID) bool { return c.IsVoter(id) || c.IsLearner(id) }

// IsEmpty reports whether there are no voters, which is the case in a replica that holds no log yet.
func (c Configuration) IsEmpty() bool { return len(c.Voters) == 0 }

// Quorum returns the number of voters that make up a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Newest returns the member of an instance with the highest incarnation, and whether the instance has one.
func (c Configuration) Newest(instance string) (ID, bool) {
	var newest ID
	for _, list := range [][]ID{c.Voters, c.Learners} {
		for _, id := range list {
			if id.Instance == instance && id.Incarnation > newest.Incarnation {
				newest = id
			}
		}
	}
	return newest, !newest.IsZero()
}

// members returns all voters, then all learners.
func (c Configuration) members() []ID {
	return slices.Concat(c.Voters, c.Learners)
}

// with returns a sorted copy of list that contains id once.
func with(list []ID, id ID) []ID {
	out := append(slices.Clone(list), id)
	slices.SortFunc(out, ID.Compare)
	return slices.Compact(out)
}

// without returns a copy of list that lacks the IDs for which drop returns true.
func without(list []ID, drop func(ID) bool) []ID {
	return slices.DeleteFunc(slices.Clone(list), drop)
}
