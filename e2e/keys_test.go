package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/entry"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// mint asks an instance for one key.
func mintKey(t *testing.T, address string) string {
	t.Helper()
	response, err := send(address, http.MethodPost, "/v1/keys", smallToken, `{"count":1}`, nil)
	if err = errors.Join(err, response.err); err != nil {
		t.Fatal(err)
	}
	var minted struct{ Keys []string }
	if err := json.Unmarshal([]byte(response.body), &minted); err != nil || len(minted.Keys) != 1 {
		t.Fatalf("status %d, body %q: %v", response.status, response.body, err)
	}
	return minted.Keys[0]
}

func sendOrder(address, key, body string) (callerResponse, error) {
	header := map[string]string{}
	if key != "" {
		header[entry.HeaderIdempotencyKey] = key
	}
	return send(address, http.MethodPost, "/orders", smallToken, body, header)
}

func outcomeOf(response callerResponse) string {
	return response.header.Get(entry.HeaderOutcome) + response.trailer.Get(entry.HeaderOutcome)
}

func (c *cluster) plainEngine() *engine {
	for _, e := range c.engines {
		if e.kind == "plain" {
			return e
		}
	}
	return nil
}

// checkRanOnce fails the test when an order was carried out more often than limit allows.
func (c *cluster) checkRan(body string, atLeast, atMost int) {
	c.t.Helper()
	total := 0
	for _, e := range c.engines {
		total += e.counts().Orders[body]
	}
	if total < atLeast || total > atMost {
		c.t.Errorf("order %q ran %d times, want %d to %d", body, total, atLeast, atMost)
	}
}

// Guards against an order that runs again, or an answer that is lost, when a resend reaches another instance.
func TestRetryGetsStoredResponse(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 2})
	key := mintKey(t, c.members[2].callerAddress)
	first, err := sendOrder(c.members[0].callerAddress, key, "sack 1")
	is.NoErr(err)
	is.Equal(outcomeOf(first), "answered")
	for _, m := range c.members {
		waitFor(t, "stored answer", func() bool {
			retry, err := sendOrder(m.callerAddress, key, "sack 1")
			return err == nil && outcomeOf(retry) == "answered" && retry.body == first.body
		})
	}
	c.checkRan("sack 1", 1, 1)
	other, err := sendOrder(c.members[1].callerAddress, key, "sack 2")
	is.NoErr(err)
	is.Equal(other.status, http.StatusUnprocessableEntity)
	c.checkRan("sack 2", 0, 0)
}

// Guards against two instances that both dispatch the same key at the same time.
func TestConcurrentRetriesRunOnce(t *testing.T) {
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 2, control: 3, ledgers: 3, eventInterval: 30 * time.Millisecond})
	for n := range 10 {
		key := mintKey(t, c.members[n%3].callerAddress)
		body := fmt.Sprintf("pickup %d", n)
		var group sync.WaitGroup
		for _, m := range c.members {
			for range 2 {
				group.Go(func() {
					response, err := sendOrder(m.callerAddress, key, body)
					if err == nil && outcomeOf(response) == "not-run" {
						t.Errorf("not-run told while another attempt held the key: %s", response.body)
					}
				})
			}
		}
		group.Wait()
		c.checkRan(body, 1, 1)
	}
}

// Guards against an order that is lost with the instance it waited at, and against the late begin of
// an instance that was frozen while its order waited and ran elsewhere.
func TestFrozenInstanceDoesNotRepeatOrder(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 1, maxInFlight: 1})
	c.plainEngine().put(standin.PathFaults, standin.Faults{Delay: 1500 * time.Millisecond})
	blocker := make(chan error, 1)
	go func() {
		_, err := send(c.members[1].callerAddress, http.MethodPost, "/orders", largeToken, "blocker", nil)
		blocker <- err
	}()
	waitFor(t, "busy engine", func() bool { return c.plainEngine().counts().Orders["blocker"] == 1 })
	key := mintKey(t, c.members[0].callerAddress)
	waiting := make(chan callerResponse, 1)
	go func() {
		response, _ := sendOrder(c.members[1].callerAddress, key, "frozen order")
		waiting <- response
	}()
	time.Sleep(300 * time.Millisecond) // the order has claimed its key and waits
	c.members[1].signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond) // the engine is free again
	retry, err := sendOrder(c.members[2].callerAddress, key, "frozen order")
	is.NoErr(err)
	is.Equal(outcomeOf(retry), "answered")
	c.members[1].signal(syscall.SIGCONT)
	late := <-waiting
	if outcomeOf(late) == "not-run" {
		t.Errorf("not-run told although the order ran: %s", late.body)
	}
	is.NoErr(<-blocker)
	c.checkRan("frozen order", 1, 1)
}

// Guards against an order that waits for ever, or runs twice, after its instance was killed.
func TestRetryAfterInstanceKill(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 1, maxInFlight: 1})
	c.plainEngine().put(standin.PathFaults, standin.Faults{Delay: time.Second})
	go func() {
		_, _ = send(c.members[1].callerAddress, http.MethodPost, "/orders", largeToken, "blocker", nil)
	}()
	waitFor(t, "busy engine", func() bool { return c.plainEngine().counts().Orders["blocker"] == 1 })
	key := mintKey(t, c.members[0].callerAddress)
	go func() { _, _ = sendOrder(c.members[1].callerAddress, key, "killed order") }()
	time.Sleep(300 * time.Millisecond)
	c.members[1].kill()
	retry, err := sendOrder(c.members[2].callerAddress, key, "killed order")
	is.NoErr(err)
	is.Equal(outcomeOf(retry), "answered")
	c.checkRan("killed order", 1, 1)
}

// Guards against an order that runs again because the owner of its key restarted or lost its disk.
func TestOwnerRestartAndLostDisk(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 1})
	owner := c.members[0]
	key := mintKey(t, c.members[1].callerAddress)
	unused := mintKey(t, c.members[1].callerAddress)
	first, err := sendOrder(c.members[1].callerAddress, key, "kept order")
	is.NoErr(err)
	is.Equal(outcomeOf(first), "answered")
	owner.kill()
	whileDown, err := sendOrder(c.members[2].callerAddress, key, "kept order")
	is.NoErr(err)
	is.Equal(outcomeOf(whileDown), "undetermined")
	owner.start()
	c.waitReady(owner)
	waitFor(t, "stored answer after the restart", func() bool {
		retry, err := sendOrder(c.members[2].callerAddress, key, "kept order")
		return err == nil && outcomeOf(retry) == "answered" && retry.body == first.body
	})
	owner.kill()
	is.NoErr(os.RemoveAll(filepath.Join(c.folder, owner.name, "ledger")))
	owner.start()
	c.waitReady(owner)
	for _, lost := range []string{key, unused} {
		waitFor(t, "answer after the lost disk", func() bool {
			retry, err := sendOrder(c.members[2].callerAddress, lost, "kept order")
			return err == nil && outcomeOf(retry) == "undetermined"
		})
	}
	c.checkRan("kept order", 1, 1)
}

// Guards against foreign keys being taken as if they protected an order.
func TestForeignKeyIsRefused(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 1, plainEngines: 1, control: 1, ledgers: 1})
	response, err := sendOrder(c.members[0].callerAddress, "my-own-key", "foreign")
	is.NoErr(err)
	is.Equal(response.status, http.StatusBadRequest)
	key := mintKey(t, c.members[0].callerAddress)
	otherWorkspace, err := send(c.members[0].callerAddress, http.MethodPost, "/orders", largeToken, "foreign", map[string]string{entry.HeaderIdempotencyKey: key})
	is.NoErr(err)
	is.Equal(otherWorkspace.status, http.StatusBadRequest)
	c.checkRan("foreign", 0, 0)
}

// Guards against a not-run that a resend on its way makes untrue: the resend was sent before the caller was told.
func TestNotRunStaysTrueDespiteLateRetry(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 1, queueLimit: 1, maxInFlight: 1})
	c.plainEngine().put(standin.PathFaults, standin.Faults{Hold: standin.HoldFirst})
	var blockers sync.WaitGroup
	for n := range 2 { // one runs, one fills the queue
		blockers.Go(func() { _, _ = sendOrder(c.members[1].callerAddress, "", fmt.Sprintf("blocker %d", n)) })
		waitFor(t, "blockers", func() bool { return c.plainEngine().counts().Held+c.members[1].waitingFor(t, "orders") > n })
	}
	h := newHistory(kinds[0], "shed order")
	key := mintKey(t, c.members[0].callerAddress)
	reader, writer := io.Pipe()
	retry := make(chan observation, 1)
	go func() { retry <- h.sendBody(context.Background(), c.members[2], key, reader) }()
	_, err := writer.Write([]byte(h.work[:1])) // its header has been read by the instance
	is.NoErr(err)
	rejected := h.send(context.Background(), c.members[1], key)
	is.Equal(outcomeOf(rejected.callerResponse), "not-run")
	c.plainEngine().put(standin.PathFaults, standin.Faults{})
	_, err = writer.Write([]byte(h.work[1:]))
	is.NoErr(err)
	is.NoErr(writer.Close())
	h.observations = []observation{rejected, <-retry}
	blockers.Wait()
	h.runs = c.runsOf(h.work)
	for _, violation := range h.check() {
		t.Error(violation)
	}
}

// Guards against a planned stop of a key's owner that cuts orders which wait at other instances.
func TestPlannedStopOfAnOwnerServesClaimedOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t, clusterOptions{members: 3, plainEngines: 1, control: 3, ledgers: 1, maxInFlight: 1})
	c.plainEngine().put(standin.PathFaults, standin.Faults{Delay: time.Second})
	go func() {
		_, _ = send(c.members[1].callerAddress, http.MethodPost, "/orders", largeToken, "blocker", nil)
	}()
	waitFor(t, "busy engine", func() bool { return c.plainEngine().counts().Orders["blocker"] == 1 })
	key := mintKey(t, c.members[1].callerAddress)
	waiting := make(chan callerResponse, 1)
	go func() {
		response, _ := sendOrder(c.members[1].callerAddress, key, "claimed order")
		waiting <- response
	}()
	waitFor(t, "the claimed order to wait", func() bool { return c.members[1].waitingFor(t, "orders") == 1 })
	c.members[0].signal(syscall.SIGTERM)
	is.Equal(outcomeOf(<-waiting), "answered")
	is.Equal(c.members[0].waitExit(startTimeout), 0)
	c.checkRan("claimed order", 1, 1)
}
