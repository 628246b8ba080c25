package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/operator"
)

// finalResultTimeout limits the time until the retries of a change return a final result: 2 s without a
// leader, 5 s until a change is reported as committed, and the rest for restarts on a busy machine.
const finalResultTimeout = 30 * time.Second

// submission is a change and the first final result that its operator received.
type submission struct {
	id           string
	base         configuration.Version
	result       control.ChangeResult
	retryResults []control.ChangeResult // final results of later retries
}

// isFinal reports whether a retry of the change must return the same result.
func isFinal(result control.ChangeResult) bool {
	return succeeded(result) || result.Outcome == control.OutcomeConflict
}

func succeeded(result control.ChangeResult) bool {
	return result.Outcome == control.OutcomeAccepted || result.Outcome == control.OutcomeCommitted
}

// changeHistory records the changes that a test submits and the versions that each instance reports meanwhile.
type changeHistory struct {
	*cluster
	startVersion configuration.Version

	mu          sync.Mutex
	submissions []*submission
	observed    map[string][]configuration.Version // per instance, without consecutive duplicates
}

// watchChanges returns an empty history and polls the version of every instance until the test ends.
func watchChanges(c *cluster) *changeHistory {
	h := &changeHistory{cluster: c, startVersion: c.members[0].version(c.t), observed: map[string][]configuration.Version{}}
	ctx, cancel := context.WithCancel(context.Background())
	var pollers sync.WaitGroup
	c.t.Cleanup(func() { cancel(); pollers.Wait() })
	for _, m := range c.members {
		client := m.operator(c.t)
		pollers.Go(func() {
			for ctx.Err() == nil {
				call, done := context.WithTimeout(ctx, time.Second)
				current, err := client.Configuration(call)
				done()
				if err == nil {
					h.recordVersion(m.name, current.Version)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return h
}

// recordVersion records a version that an instance reports. Version 0 is left out: it means that no
// configuration is in force yet.
func (h *changeHistory) recordVersion(instance string, v configuration.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	versions := h.observed[instance]
	if v != 0 && (len(versions) == 0 || versions[len(versions)-1] != v) {
		h.observed[instance] = append(versions, v)
	}
}

// submitOnce sends a change to one instance, without a retry, and reports a conflict as a result.
func (m *member) submitOnce(ctx context.Context, client *operator.Client, id string, base configuration.Version) (control.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	result, err := client.Label(ctx, "plain-0", operator.LabelRequest{ChangeID: id, Base: base, Set: map[string]string{"mark": id}})
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Type == operator.ProblemConflict {
		return control.ChangeResult{ChangeID: id, Outcome: control.OutcomeConflict, Version: problem.Version}, nil
	}
	return result, err
}

// submit sends a change to one instance after the other until its result is final.
func (h *changeHistory) submit(id string, base configuration.Version, first int) *submission {
	s := &submission{id: id, base: base}
	ctx, cancel := context.WithTimeout(context.Background(), finalResultTimeout)
	defer cancel()
	var err error
	for n := first; ctx.Err() == nil && !isFinal(s.result); n++ {
		m := h.members[n%len(h.members)]
		s.result, err = m.submitOnce(ctx, m.operator(h.t), id, base)
		if err != nil {
			s.result = control.ChangeResult{}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if !isFinal(s.result) {
		h.t.Errorf("change %s has no final result after %s: %+v, %v", id, finalResultTimeout, s.result, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submissions = append(h.submissions, s)
	return s
}

// submitConcurrently submits two changes of the same base version through different instances and injects
// a fault meanwhile.
func (h *changeHistory) submitConcurrently(name string, base configuration.Version, injectFault func()) {
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() { h.submit(fmt.Sprintf("%s-%d", name, n), base, n) })
	}
	injectFault()
	group.Wait()
}

func (h *changeHistory) newestVersion() (v configuration.Version) {
	for _, s := range h.submissions {
		if succeeded(s.result) {
			v = max(v, s.result.Version)
		}
	}
	return max(v, h.startVersion)
}

// verify waits until every instance has the newest version, retries the last ten changes and checks the
// invariants of the whole history.
func (h *changeHistory) verify() {
	h.t.Helper()
	newestVersion := h.newestVersion()
	for _, m := range h.members {
		waitFor(h.t, fmt.Sprintf("version %d at %s", newestVersion, m.name), func() bool {
			current, err := m.operator(h.t).Configuration(context.Background())
			return err == nil && current.Version >= newestVersion
		})
	}
	recent := h.submissions[max(0, len(h.submissions)-10):]
	for n, s := range recent {
		m := h.members[n%len(h.members)]
		waitFor(h.t, "final result of a retry of "+s.id, func() bool {
			result, err := m.submitOnce(context.Background(), m.operator(h.t), s.id, s.base)
			if err == nil && isFinal(result) {
				s.retryResults = append(s.retryResults, result)
			}
			return err == nil && isFinal(result)
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, violation := range checkChanges(h.startVersion, h.members[0].version(h.t), h.submissions, h.observed) {
		h.t.Error(violation)
	}
}

// checkChanges returns every violation of an invariant of changes. All submissions must have final results,
// and endVersion is the version of an instance after the last of them.
func checkChanges(startVersion, endVersion configuration.Version, submissions []*submission, observed map[string][]configuration.Version) (violations []string) {
	winners := map[configuration.Version]string{}
	successes := 0
	for _, s := range submissions {
		if succeeded(s.result) {
			successes++
			if other, found := winners[s.base]; found {
				violations = append(violations, fmt.Sprintf("%s and %s both replaced base version %d", other, s.id, s.base))
			}
			winners[s.base] = s.id
			if s.result.Version != s.base+1 {
				violations = append(violations, fmt.Sprintf("%s replaced base version %d by version %d", s.id, s.base, s.result.Version))
			}
		}
		for _, retryResult := range s.retryResults {
			if succeeded(retryResult) != succeeded(s.result) || succeeded(retryResult) && retryResult.Version != s.result.Version {
				violations = append(violations, fmt.Sprintf("%s had result %+v and, after a retry, %+v", s.id, s.result, retryResult))
			}
		}
	}
	for _, s := range submissions {
		if _, found := winners[s.base]; !found {
			violations = append(violations, fmt.Sprintf("no change of base version %d of %s succeeded", s.base, s.id))
		}
	}
	if endVersion != startVersion+configuration.Version(successes) {
		violations = append(violations, fmt.Sprintf("version %d after %d successful changes of version %d", endVersion, successes, startVersion))
	}
	for instance, versions := range observed {
		for n := 1; n < len(versions); n++ {
			if versions[n] < versions[n-1] {
				violations = append(violations, fmt.Sprintf("%s reverted from version %d to %d", instance, versions[n-1], versions[n]))
			}
		}
	}
	return violations
}

// TestChangeCheckerReportsViolations guards against a checkChanges that accepts a history which violates
// an invariant.
func TestChangeCheckerReportsViolations(t *testing.T) {
	result := func(o control.Outcome, v configuration.Version) control.ChangeResult {
		return control.ChangeResult{Outcome: o, Version: v}
	}
	winner := &submission{id: "a", base: 1, result: result(control.OutcomeAccepted, 2)}
	loser := &submission{id: "b", base: 1, result: result(control.OutcomeConflict, 2)}
	secondWinner := &submission{id: "c", base: 1, result: result(control.OutcomeCommitted, 2)}
	changedResult := &submission{id: "d", base: 1, result: winner.result, retryResults: []control.ChangeResult{result(control.OutcomeConflict, 2)}}
	skippedVersion := &submission{id: "e", base: 1, result: result(control.OutcomeAccepted, 3)}
	for _, test := range []struct {
		name        string
		endVersion  configuration.Version
		submissions []*submission
		observed    []configuration.Version
		want        int
	}{
		{"one winner", 2, []*submission{winner, loser}, []configuration.Version{1, 2}, 0},
		{"two winners", 3, []*submission{winner, secondWinner}, nil, 1},
		{"no winner", 1, []*submission{loser}, nil, 1},
		{"lost change", 1, []*submission{winner}, nil, 1},
		{"change that was reported to no operator", 3, []*submission{winner}, nil, 1},
		{"retry with a different result", 2, []*submission{changedResult}, nil, 1},
		{"skipped version", 2, []*submission{skippedVersion}, nil, 1},
		{"decreasing version", 2, []*submission{winner}, []configuration.Version{1, 2, 1}, 1},
	} {
		if got := checkChanges(1, test.endVersion, test.submissions, map[string][]configuration.Version{"x": test.observed}); len(got) != test.want {
			t.Errorf("%s: violations %v, want %d", test.name, got, test.want)
		}
	}
}
