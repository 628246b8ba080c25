package claims

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
	"github.com/primrosebeam/primrosebeam/ledger"
)

var background = context.Background()

// options returns options for an owner with the given files.
func options(files journal.FileSystem) Options {
	return Options{Name: "bern-1", Directory: "/data/ledger", Files: files}
}

// run opens an owner and runs its worker until the returned function is called or the test ends.
func run(t testing.TB, o Options) (*Owner, func()) {
	t.Helper()
	owner, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(background)
	stopped := make(chan error, 1)
	go func() { stopped <- owner.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			<-stopped // Some tests make the journal fail on purpose, so the error is not checked here.
		})
	}
	t.Cleanup(stop)
	return owner, stop
}

func mint(t testing.TB, c ledger.Service, count int) []ledger.Key {
	t.Helper()
	keys, err := c.Mint(background, ledger.MintRequest{Workspace: "w", Count: count, Lifetime: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func claim(t testing.TB, c ledger.Service, key ledger.Key) ledger.Grant {
	t.Helper()
	grant, err := c.Claim(background, ledger.ClaimRequest{Key: key, Workspace: "w", Holder: "olten-1"})
	if err != nil {
		t.Fatal(err)
	}
	return grant
}

func beginRequest(key ledger.Key, g ledger.Grant) ledger.BeginRequest {
	return ledger.BeginRequest{Key: key, Workspace: "w", Fence: g.Fence, Holder: "olten-1", Engine: "e", RequestID: "r"}
}

func answered(key ledger.Key, g ledger.Grant) ledger.CompleteRequest {
	return ledger.CompleteRequest{
		Key: key, Workspace: "w", Fence: g.Fence, Holder: "olten-1", Outcome: ledger.OutcomeAnswered,
		Response: &ledger.Response{Status: 201, Body: []byte("the answer")},
	}
}

func lookup(t testing.TB, c ledger.Service, key ledger.Key) ledger.Status {
	t.Helper()
	s, err := c.Lookup(background, ledger.LookupRequest{Key: key, Workspace: "w"})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestRestart guards against outcomes that are lost in a restart, and against claims that remain valid after
// one.
func TestRestart(t *testing.T) {
	is := is.New(t)
	// SnapshotBytes is so small that snapshots are taken.
	o := Options{Name: "bern-1", Directory: t.TempDir(), SnapshotBytes: 300}
	owner, stop := run(t, o)
	_, err := Open(o)
	var locked *journal.LockedError
	is.True(errors.As(err, &locked)) // two processes must not share the files
	keys := mint(t, owner, 10)
	grants := make([]ledger.Grant, len(keys))
	for i, key := range keys {
		grants[i] = claim(t, owner, key)
		if i < 9 {
			is.NoErr(owner.Begin(background, beginRequest(key, grants[i])))
			is.NoErr(owner.Complete(background, answered(key, grants[i])))
		}
	}
	stop()
	is.True(owner.State().Snapshots > 0)
	var closed *ClosedError
	is.True(errors.As(owner.Begin(background, beginRequest(keys[9], grants[9])), &closed))
	owner, _ = run(t, o)
	is.Equal(owner.State().Ledger.Epoch, uint64(2))
	for _, key := range keys[:9] {
		s := lookup(t, owner, key)
		is.Equal(s.Outcome, ledger.OutcomeAnswered)
		is.Equal(string(s.Response.Body), "the answer")
		is.True(!claim(t, owner, key).Granted)
	}
	var stale *ledger.StaleError
	is.True(errors.As(owner.Begin(background, beginRequest(keys[9], grants[9])), &stale))
	is.True(claim(t, owner, keys[9]).Granted)
}

// TestLostDisk guards against a key that is granted again after the disk or a part of it was lost.
func TestLostDisk(t *testing.T) {
	for _, lost := range []string{"identity", "journal", "everything"} {
		t.Run(lost, func(t *testing.T) {
			is := is.New(t)
			files := faultfs.New()
			owner, stop := run(t, options(files))
			key := mint(t, owner, 1)[0]
			is.NoErr(owner.Begin(background, beginRequest(key, claim(t, owner, key))))
			stop()
			removeAll(t, files, "/data/ledger", lost == "identity" || lost == "everything")
			removeAll(t, files, "/data/ledger/journal", lost == "journal" || lost == "everything")
			owner, _ = run(t, options(files))
			is.Equal(owner.State().Ledger.Keys, 0) // entries whose keys cannot be verified any more are removed
			grant := claim(t, owner, key)
			is.Equal(grant, ledger.Grant{Status: ledger.Status{State: ledger.StateUndetermined}})
			is.Equal(lookup(t, owner, key).State, ledger.StateUndetermined)
			is.True(claim(t, owner, mint(t, owner, 1)[0]).Granted)
		})
	}
}

// removeAll removes all files in a directory if selected is true.
func removeAll(t *testing.T, files *faultfs.FS, directory string, selected bool) {
	t.Helper()
	names, err := files.List(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if selected && files.Remove(directory+"/"+name) != nil {
			t.Fatal("not removed")
		}
	}
}

// TestStartIsDurable guards against a first start that is lost in a crash, after which the keys issued since
// that start would be undetermined, and against an epoch lower than the one in the identity file.
func TestStartIsDurable(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	owner, _ := run(t, options(files))
	key := mint(t, owner, 1)[0]
	files = files.Crash(faultfs.SyncedContent, false)
	files.Edit("/data/ledger/identity", func(data []byte) []byte {
		i, err := decodeIdentity("identity", data)
		is.NoErr(err)
		i.Epoch = 50
		data, err = i.encode()
		is.NoErr(err)
		return data
	})
	owner, _ = run(t, options(files))
	is.Equal(claim(t, owner, key).Fence, ledger.Fence{Epoch: 51, Generation: 1})
}

// TestIdentityFileIsChecked guards against the use or replacement of an identity file that is damaged or
// belongs to another owner.
func TestIdentityFileIsChecked(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	_, stop := run(t, options(files))
	stop()
	var identityError *IdentityError
	other := options(files)
	other.Name = "bern-2"
	_, err := Open(other)
	is.True(errors.As(err, &identityError))
	data, err := files.ReadFile("/data/ledger/identity")
	is.NoErr(err)
	for i := range data {
		damaged := files.Crash(faultfs.WrittenContent, true)
		damaged.Edit("/data/ledger/identity", func(b []byte) []byte {
			b[i] ^= 1
			return b
		})
		_, err = Open(options(damaged))
		is.True(errors.As(err, &identityError))
	}
}

// TestCrashAtEveryStepOfTheStart guards against a crash during the start after which old claims are valid
// again, a begin is lost or later starts fail.
func TestCrashAtEveryStepOfTheStart(t *testing.T) {
	files := faultfs.New()
	owner, stop := run(t, options(files))
	keys := mint(t, owner, 2)
	begun, waiting := claim(t, owner, keys[0]), claim(t, owner, keys[1])
	if err := owner.Begin(background, beginRequest(keys[0], begun)); err != nil {
		t.Fatal(err)
	}
	stop()
	for _, keep := range []bool{false, true} {
		for step, finished := 0, false; !finished; step++ {
			is := is.New(t)
			disk := files.Crash(faultfs.SyncedContent, false)
			count := 0
			disk.SetFault(func(faultfs.Step) error {
				if count++; count > step {
					return syscall.EIO
				}
				return nil
			})
			opened, err := Open(options(disk))
			finished = err == nil && opened.State().Failure == ""
			owner, stop := run(t, options(disk.Crash(faultfs.SyncedContent, keep)))
			is.True(owner.State().Ledger.Epoch >= 2)
			is.Equal(claim(t, owner, keys[0]).Status.State, ledger.StateInProgress)
			var stale *ledger.StaleError
			is.True(errors.As(owner.Begin(background, beginRequest(keys[1], waiting)), &stale))
			stop()
		}
	}
}

// syncBlocker blocks syncs of the journal's segments. Each sync sends to started and then returns the next
// value received from unblock.
type syncBlocker struct {
	started chan struct{}
	unblock chan error
}

// blockSyncs makes all later syncs of the journal's segments block.
func blockSyncs(files *faultfs.FS) syncBlocker {
	blocker := syncBlocker{started: make(chan struct{}, 10), unblock: make(chan error, 10)}
	files.SetFault(func(s faultfs.Step) error {
		if s.Operation != journal.OperationSync || !strings.Contains(s.Path, "segment-") {
			return nil
		}
		blocker.started <- struct{}{}
		return <-blocker.unblock
	})
	return blocker
}

// async runs the requests concurrently and returns once all of them wait in the queue.
func async(owner *Owner, requests ...func() error) chan error {
	results := make(chan error, len(requests))
	for _, r := range requests {
		go func() { results <- r() }()
	}
	for owner.State().Waiting < len(requests) {
		time.Sleep(time.Millisecond)
	}
	return results
}

// TestGroupCommit guards against a begin that is acknowledged before its sync, and against one sync per
// begin: begins that are queued during a sync must share the next one. If the acknowledgement came before the
// sync, the first begin would return while its sync is blocked.
func TestGroupCommit(t *testing.T) {
	const waiting = 100
	is := is.New(t)
	files := faultfs.New()
	owner, _ := run(t, options(files))
	keys := mint(t, owner, waiting+1)
	var begins []func() error
	for _, key := range keys {
		r := beginRequest(key, claim(t, owner, key))
		begins = append(begins, func() error { return owner.Begin(background, r) })
	}
	syncs := blockSyncs(files)
	first := make(chan error, 1)
	go func() { first <- begins[0]() }()
	<-syncs.started
	others := async(owner, begins[1:]...)
	is.Equal(len(first), 0) // no begin is acknowledged during the sync
	syncs.unblock <- nil
	<-syncs.started
	is.NoErr(<-first)
	is.Equal(len(others), 0)
	syncs.unblock <- nil
	for range waiting {
		is.NoErr(<-others)
	}
	is.Equal(len(syncs.started), 0) // two syncs in all
}

// TestRequestsOfOneBatch guards against a lookup that does not return an outcome of its own batch, and
// against a repeated begin, which returns no record, that is acknowledged although the sync of the original
// begin failed.
func TestRequestsOfOneBatch(t *testing.T) {
	for _, failure := range []error{nil, syscall.EIO} {
		is := is.New(t)
		files := faultfs.New()
		owner, _ := run(t, options(files))
		keys := mint(t, owner, 3)
		done, repeated, blocker := claim(t, owner, keys[0]), claim(t, owner, keys[1]), claim(t, owner, keys[2])
		is.NoErr(owner.Begin(background, beginRequest(keys[0], done)))
		syncs := blockSyncs(files)
		first := make(chan error, 1)
		go func() { first <- owner.Begin(background, beginRequest(keys[2], blocker)) }()
		<-syncs.started
		var status ledger.Status
		lookupResult := async(owner, func() error {
			var err error
			status, err = owner.Lookup(background, ledger.LookupRequest{Key: keys[0], Workspace: "w"})
			return err
		})
		begin := func() error { return owner.Begin(background, beginRequest(keys[1], repeated)) }
		complete := func() error { return owner.Complete(background, answered(keys[0], done)) }
		results := make(chan error, 3)
		for _, r := range []func() error{begin, begin, complete} {
			go func() { results <- r() }()
		}
		for owner.State().Waiting < 4 {
			time.Sleep(time.Millisecond)
		}
		syncs.unblock <- nil
		is.NoErr(<-first)
		syncs.unblock <- failure
		for range 3 {
			err := <-results
			var unavailable *ledger.UnavailableError
			is.Equal(errors.As(err, &unavailable), failure != nil)
			is.True(failure != nil || err == nil)
		}
		is.NoErr(<-lookupResult)
		want := ledger.StateFinished
		if failure != nil {
			want = ledger.StateUndetermined
		}
		is.Equal(status.State, want)
	}
}

// TestFailedSync guards against an acknowledgement that depends on a failed sync, and against an owner that
// does not report stored outcomes after its journal has failed.
func TestFailedSync(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	owner, stop := run(t, options(files))
	keys := mint(t, owner, 3)
	known, failing, later := claim(t, owner, keys[0]), claim(t, owner, keys[1]), claim(t, owner, keys[2])
	is.NoErr(owner.Begin(background, beginRequest(keys[0], known)))
	is.NoErr(owner.Complete(background, answered(keys[0], known)))
	files.SetFault(func(s faultfs.Step) error {
		if s.Operation == journal.OperationSync {
			return syscall.EIO
		}
		return nil
	})
	var unavailable *ledger.UnavailableError
	is.True(errors.As(owner.Begin(background, beginRequest(keys[1], failing)), &unavailable))
	is.True(errors.As(owner.Begin(background, beginRequest(keys[1], failing)), &unavailable))
	is.True(errors.As(owner.Begin(background, beginRequest(keys[2], later)), &unavailable))
	is.Equal(lookup(t, owner, keys[0]).Outcome, ledger.OutcomeAnswered)
	is.Equal(lookup(t, owner, keys[1]).State, ledger.StateUndetermined)
	is.True(!claim(t, owner, keys[0]).Granted)
	stop()
	is.True(owner.State().Failure != "")
	files.SetFault(nil)
	owner, _ = run(t, options(files.Crash(faultfs.SyncedContent, false)))
	is.True(claim(t, owner, keys[1]).Granted) // the begin of this key was never acknowledged
}

// TestFullDisk guards against a full disk that prevents operations other than writes.
func TestFullDisk(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	o := options(files)
	o.SnapshotBytes = 1
	owner, _ := run(t, o)
	keys := mint(t, owner, 2)
	full := func(part string) func(faultfs.Step) error {
		return func(s faultfs.Step) error {
			if s.Operation == journal.OperationWrite && strings.Contains(s.Path, part) {
				return syscall.ENOSPC
			}
			return nil
		}
	}
	files.SetFault(full("snapshot-")) // a snapshot that fails for lack of space must not stop the owner
	is.NoErr(owner.Begin(background, beginRequest(keys[0], claim(t, owner, keys[0]))))
	grant := claim(t, owner, keys[1])
	for owner.State().SnapshotsFailed == 0 {
		time.Sleep(time.Millisecond)
	}
	files.SetFault(full("segment-"))
	var unavailable *ledger.UnavailableError
	is.True(errors.As(owner.Begin(background, beginRequest(keys[1], grant)), &unavailable))
	is.Equal(lookup(t, owner, keys[0]).State, ledger.StateInProgress)
}

// TestRingIsBounded guards against an unlimited number of waiting requests, and against an error that reports
// that a request had no effect after its context has ended.
func TestRingIsBounded(t *testing.T) {
	is := is.New(t)
	o := options(faultfs.New())
	o.RingCapacity = 2
	owner, err := Open(o) // the worker does not run
	is.NoErr(err)
	ctx, cancel := context.WithCancel(background)
	cancel()
	for range 2 {
		_, err = owner.Mint(ctx, ledger.MintRequest{})
		var unreachable *UnreachableError
		is.True(errors.As(err, &unreachable))
		is.True(unreachable.MayHaveArrived)
	}
	var busy *BusyError
	_, err = owner.Mint(ctx, ledger.MintRequest{})
	is.True(errors.As(err, &busy))
}

// TestStateContainsNoSecrets guards against secrets, keys or stored responses in the state for diagnostics.
func TestStateContainsNoSecrets(t *testing.T) {
	is := is.New(t)
	secret := bytes.Repeat([]byte("s"), 1024)
	o := options(faultfs.New())
	o.Random = bytes.NewReader(secret)
	owner, stop := run(t, o)
	key := mint(t, owner, 1)[0]
	grant := claim(t, owner, key)
	is.NoErr(owner.Begin(background, beginRequest(key, grant)))
	is.NoErr(owner.Complete(background, answered(key, grant)))
	stop()
	dump, err := json.Marshal(owner.State())
	is.NoErr(err)
	is.Equal(owner.State().Ledger.Keys, 1)
	for _, hidden := range []string{"ssss", string(key), "the answer"} {
		is.True(!strings.Contains(string(dump)+fmt.Sprintf("%+v", owner.State()), hidden))
	}
}

// TestClockIsMonotonic guards against a clock that stops after the wall clock was set back, or that goes back
// after a restart.
func TestClockIsMonotonic(t *testing.T) {
	is := is.New(t)
	wall := time.UnixMilli(1_000_000)
	c := newClock(func() time.Time { return wall }, time.UnixMilli(5_000_000))
	is.Equal(c.now().UnixMilli(), int64(5_000_000))
	wall = wall.Add(time.Second)
	is.Equal(c.now().UnixMilli(), int64(5_001_000))
	wall = wall.Add(2 * time.Hour)
	is.Equal(c.now().UnixMilli(), int64(12_201_000))
}

// FuzzDecodeIdentity guards against an identity decoder that panics, and against an accepted file whose identity
// is not read again as it was. The fuzzed bytes are the body; the checksum is valid, since a fuzzer does not find
// one.
func FuzzDecodeIdentity(f *testing.F) {
	data, err := identity{Version: 1, Owner: "o", Incarnation: 2, Epoch: 3, Secret: []byte("secret")}.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data[sha256.Size:])
	f.Fuzz(func(t *testing.T, body []byte) {
		sum := sha256.Sum256(body)
		i, err := decodeIdentity("identity", append(sum[:], body...))
		if err != nil {
			return
		}
		encoded, err := i.encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeIdentity("identity", encoded)
		if err != nil || i.Version != identityVersion || !reflect.DeepEqual(again, i) {
			t.Fatalf("accepted %+v, which is read again as %+v: %v", i, again, err)
		}
	})
}
