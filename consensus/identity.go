// Package consensus is the core of a replicated log: election with pre-vote, replication, quorum
// commit, linearizable reads, snapshots and membership changes through the log.
//
// The package has no I/O, no clock, no goroutines and no global randomness. A driver feeds messages
// to Node.Step, time to Node.Tick and commands to Node.Propose. It then takes a Ready, carries it out
// in the order persist, send, apply, and confirms it with Node.Advance.
package consensus

import (
	"cmp"
	"fmt"
	"slices"
)

// ID identifies a replica: the name of its instance and the incarnation stored on its disk. A replica
// that lost its disk returns under a higher incarnation, so that promises made by the lost one (votes
// and acknowledgements) can never be contradicted under the same identity.
type ID struct {
	Instance    string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"` // 0 in a destination means any incarnation
}

// IsZero reports whether the identity is unset.
func (id ID) IsZero() bool { return id == ID{} }

func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Instance, id.Incarnation) }

// Compare orders identities by instance, then by incarnation.
func (id ID) Compare(other ID) int {
	return cmp.Or(cmp.Compare(id.Instance, other.Instance), cmp.Compare(id.Incarnation, other.Incarnation))
}

// Configuration is the set of replicas of the log. Learners receive entries but neither vote nor
// count towards a quorum. An instance has at most one voter and one learner; when it has both, the
// learner is the newer incarnation that is about to replace the voter.
type Configuration struct {
	Voters   []ID `cbor:"1,keyasint,omitempty"` // sorted
	Learners []ID `cbor:"2,keyasint,omitempty"` // sorted
}

// IsVoter reports whether id votes and counts towards a quorum.
func (c Configuration) IsVoter(id ID) bool { return slices.Contains(c.Voters, id) }

// IsLearner reports whether id receives entries without counting towards a quorum.
func (c Configuration) IsLearner(id ID) bool { return slices.Contains(c.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (c Configuration) Contains(id ID) bool { return c.IsVoter(id) || c.IsLearner(id) }

// IsEmpty reports whether there are no voters, as in a replica that holds no log yet.
func (c Configuration) IsEmpty() bool { return len(c.Voters) == 0 }

// Quorum returns the number of voters that make up a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Newest returns the member of an instance with the highest incarnation.
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

func (c Configuration) members() []ID {
	return slices.Concat(c.Voters, c.Learners)
}

func with(list []ID, id ID) []ID {
	out := append(slices.Clone(list), id)
	slices.SortFunc(out, ID.Compare)
	return slices.Compact(out)
}

func without(list []ID, drop func(ID) bool) []ID {
	return slices.DeleteFunc(slices.Clone(list), drop)
}
