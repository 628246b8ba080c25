package claims

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// refuse makes operations fail with an error.
func refuse(refusal error, operations ...journal.Operation) func(faultfs.Step) error {
	return func(s faultfs.Step) error {
		if slices.Contains(operations, s.Operation) {
			return refusal
		}
		return nil
	}
}

// awaitStorage waits until the journal of an owner works.
func awaitStorage(t *testing.T, owner *Owner) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); owner.State().Failure != ""; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the journal was not opened again: ", owner.State().Failure)
		}
	}
}

// TestOwnerReturnsAfterRefusedWrites guards against an owner that accepts no begins for the life of its process after its
// writes were refused for a while, against stored outcomes that are lost meanwhile, and against a begin that nobody has
// got and that blocks its key. A loss of power afterwards must lose nothing that was acknowledged.
func TestOwnerReturnsAfterRefusedWrites(t *testing.T) {
	for _, refusal := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS, syscall.EFBIG} {
		for _, effect := range []faultfs.FailedSync{faultfs.FailedSyncKeepsWrites, faultfs.FailedSyncMarksClean, faultfs.FailedSyncDiscards} {
			for name, operations := range map[string][]journal.Operation{
				"write": {journal.OperationWrite},
				"sync":  {journal.OperationSync},
				"all":   {journal.OperationCreate, journal.OperationWrite, journal.OperationSync, journal.OperationTruncate, journal.OperationRename},
			} {
				t.Run(fmt.Sprintf("%s, %v, effect %d", name, refusal, effect), func(t *testing.T) {
					t.Parallel()
					testOwnerReturns(t, effect, refuse(refusal, operations...))
				})
			}
		}
	}
}

func testOwnerReturns(t *testing.T, effect faultfs.FailedSync, fault func(faultfs.Step) error) {
	is := is.New(t)
	files := faultfs.New()
	files.SetFailedSync(effect)
	owner, stop := run(t, options(files))
	keys := mint(t, owner, 4)
	known, running, refused := claim(t, owner, keys[0]), claim(t, owner, keys[1]), claim(t, owner, keys[2])
	is.NoErr(owner.Begin(background, beginRequest(keys[0], known)))
	is.NoErr(owner.Complete(background, answered(keys[0], known)))
	is.NoErr(owner.Begin(background, beginRequest(keys[1], running)))
	epoch := owner.State().Ledger.Epoch

	files.SetFault(fault)
	var unavailable *ledger.UnavailableError
	is.True(errors.As(owner.Begin(background, beginRequest(keys[2], refused)), &unavailable))
	is.Equal(lookup(t, owner, keys[0]).Outcome, ledger.OutcomeAnswered) // lookups are served meanwhile
	files.SetFault(nil)
	awaitStorage(t, owner)

	is.True(owner.State().Ledger.Epoch > epoch)
	var stale *ledger.StaleError
	is.True(errors.As(owner.Begin(background, beginRequest(keys[2], refused)), &stale)) // of the former epoch
	again := claim(t, owner, keys[2])
	is.True(again.Granted)
	is.NoErr(owner.Begin(background, beginRequest(keys[2], again)))
	is.Equal(lookup(t, owner, keys[1]).State, ledger.StateInProgress)
	is.NoErr(owner.Complete(background, answered(keys[1], running))) // by the holder that has begun it

	files = files.Crash(faultfs.SyncedContent, false)
	stop()
	owner, _ = run(t, options(files))
	is.Equal(lookup(t, owner, keys[0]).Outcome, ledger.OutcomeAnswered)
	is.Equal(lookup(t, owner, keys[1]).Outcome, ledger.OutcomeAnswered)
	is.Equal(lookup(t, owner, keys[2]).State, ledger.StateInProgress)
}

// TestOwnerStartsWhileWritesAreRefused guards against an instance that has no ledger for the life of its process because
// its writes were refused when it started.
func TestOwnerStartsWhileWritesAreRefused(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	owner, stop := run(t, options(files))
	keys := mint(t, owner, 1)
	is.NoErr(owner.Begin(background, beginRequest(keys[0], claim(t, owner, keys[0]))))
	stop()
	files.SetFault(refuse(syscall.EROFS, journal.OperationCreate, journal.OperationWrite, journal.OperationSync))
	owner, _ = run(t, options(files))
	var unavailable *ledger.UnavailableError
	_, err := owner.Lookup(background, ledger.LookupRequest{Key: keys[0], Workspace: "w"})
	is.True(errors.As(err, &unavailable)) // what its disk holds is not known yet
	_, err = owner.Mint(background, ledger.MintRequest{Workspace: "w", Count: 1, Lifetime: time.Hour})
	is.True(errors.As(err, &unavailable))
	files.SetFault(nil)
	awaitStorage(t, owner)
	is.Equal(lookup(t, owner, keys[0]).State, ledger.StateInProgress)
	is.Equal(len(mint(t, owner, 1)), 1)
}
