package core

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/revision"
	"github.com/primrosebeam/primrosebeam/rollout"
)

// state is the state machine of the log: the configuration and the orders of roll-outs.
//
// A command is a CBOR map. Configurations have the keys 1 and 2, see revision.Revision, commands about roll-outs the
// key 3. A release that does not know roll-outs reads such a command as a configuration with the number 0, which changes
// nothing. Snapshots hold the configuration and the orders under the same keys.
type state struct {
	register *revision.Register
	rollouts *rollout.Register
}

type stateCommand struct {
	Number  uint64           `cbor:"1,keyasint"`
	Content []byte           `cbor:"2,keyasint,omitempty"`
	Rollout *rollout.Command `cbor:"3,keyasint,omitempty"`
}

type stateSnapshot struct {
	Number   uint64            `cbor:"1,keyasint"`
	Content  []byte            `cbor:"2,keyasint,omitempty"`
	Rollouts []rollout.Rollout `cbor:"3,keyasint,omitempty"`
}

// encodeRolloutCommand returns the command of the log for a command about a roll-out.
func encodeRolloutCommand(c rollout.Command) ([]byte, error) {
	data, err := cbor.Marshal(stateCommand{Rollout: &c})
	if err != nil {
		return nil, &revision.DecodeError{Input: "command", Cause: err}
	}
	return data, nil
}

// Apply implements replica.StateMachine. The result is a revision.Result, a rollout.Result or a *revision.DecodeError.
func (s *state) Apply(index uint64, data []byte) any {
	var c stateCommand
	if err := cbor.Unmarshal(data, &c); err != nil {
		return &revision.DecodeError{Input: "command", Cause: err}
	}
	if c.Rollout != nil {
		return s.rollouts.Apply(index, *c.Rollout)
	}
	return s.register.Write(revision.Revision{Number: c.Number, Content: c.Content})
}

// Snapshot implements replica.StateMachine.
func (s *state) Snapshot() ([]byte, error) {
	current := s.register.Current()
	data, err := cbor.Marshal(stateSnapshot{Number: current.Number, Content: current.Content, Rollouts: s.rollouts.List()})
	if err != nil {
		return nil, &revision.DecodeError{Input: "snapshot", Cause: err}
	}
	return data, nil
}

// Restore implements replica.StateMachine. A snapshot of a release that does not know roll-outs changes none.
func (s *state) Restore(data []byte) error {
	var snapshot stateSnapshot
	if err := cbor.Unmarshal(data, &snapshot); err != nil {
		return &revision.DecodeError{Input: "snapshot", Cause: err}
	}
	s.register.Write(revision.Revision{Number: snapshot.Number, Content: snapshot.Content})
	if len(snapshot.Rollouts) > 0 {
		s.rollouts.Restore(snapshot.Rollouts)
	}
	return nil
}
