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

// resolveBound is the longest until a resent change is answered for good: 2 s without a leader, 5 s
// until a change is answered committed, and the rest for restarts on a busy machine.
const resolveBound = 30 * time.Second

// submission is one change and the first final answer that its operator got.
type submission struct {
	id     string
	base   configuration.Version
	answer control.ChangeResult
	again  []control.ChangeResult // of resends
}

func final(a control.ChangeResult) bool {
	return won(a) || a.Outcome == control.OutcomeConflict
}

func won(a control.ChangeResult) bool {
	return a.Outcome == control.OutcomeAccepted || a.Outcome == control.OutcomeCommitted
}

// ledgerOfChanges collects the changes of a test and the versions that every instance shows meanwhile.
type ledgerOfChanges struct {
	*cluster
	start configuration.Version

	mu          sync.Mutex
	submissions []*submission
	seen        map[string][]configuration.Version // by instance, without repetitions
}

// watchChanges polls every instance until the test ends.
func watchChanges(c *cluster) *ledgerOfChanges {
	l := &ledgerOfChanges{cluster: c, start: c.members[0].version(c.t), seen: map[string][]configuration.Version{}}
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	c.t.Cleanup(func() { cancel(); polls.Wait() })
	for _, m := range c.members {
		client := m.operator(c.t)
		polls.Go(func() {
			for ctx.Err() == nil {
				call, done := context.WithTimeout(ctx, time.Second)
				current, err := client.Configuration(call)
				done()
				if err == nil {
					l.saw(m.name, current.Version)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return l
}

// saw records a version; an instance shows 0 while it has none.
func (l *ledgerOfChanges) saw(instance string, v configuration.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := l.seen[instance]
	if v != 0 && (len(versions) == 0 || versions[len(versions)-1] != v) {
		l.seen[instance] = append(versions, v)
	}
}

// try sends a change once.
func (m *member) try(ctx context.Context, client *operator.Client, id string, base configuration.Version) (control.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	answer, err := client.Label(ctx, "plain-0", operator.LabelRequest{ChangeID: id, Base: base, Set: map[string]string{"mark": id}})
	var problem *operator.Problem
	if errors.As(err, &problem) && problem.Type == operator.ProblemConflict {
		return control.ChangeResult{ChangeID: id, Outcome: control.OutcomeConflict, Version: problem.Version}, nil
	}
	return answer, err
}

// submit sends a change until its answer is final, through one instance after the other.
func (l *ledgerOfChanges) submit(id string, base configuration.Version, first int) *submission {
	s := &submission{id: id, base: base}
	ctx, cancel := context.WithTimeout(context.Background(), resolveBound)
	defer cancel()
	var err error
	for n := first; ctx.Err() == nil && !final(s.answer); n++ {
		m := l.members[n%len(l.members)]
		s.answer, err = m.try(ctx, m.operator(l.t), id, base)
		if err != nil {
			s.answer = control.ChangeResult{}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if !final(s.answer) {
		l.t.Errorf("change %s has no final answer after %s: %+v, %v", id, resolveBound, s.answer, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submissions = append(l.submissions, s)
	return s
}

// race lets two operators change the same base through different instances while fault strikes.
func (l *ledgerOfChanges) race(name string, base configuration.Version, fault func()) {
	var group sync.WaitGroup
	for n := range 2 {
		group.Go(func() { l.submit(fmt.Sprintf("%s-%d", name, n), base, n) })
	}
	fault()
	group.Wait()
}

func (l *ledgerOfChanges) newest() (v configuration.Version) {
	for _, s := range l.submissions {
		if won(s.answer) {
			v = max(v, s.answer.Version)
		}
	}
	return max(v, l.start)
}

// finish waits until every instance has the newest version, resends some changes and checks everything.
func (l *ledgerOfChanges) finish() {
	l.t.Helper()
	newest := l.newest()
	for _, m := range l.members {
		waitFor(l.t, fmt.Sprintf("version %d at %s", newest, m.name), func() bool {
			current, err := m.operator(l.t).Configuration(context.Background())
			return err == nil && current.Version >= newest
		})
	}
	last := l.submissions[max(0, len(l.submissions)-10):]
	for n, s := range last {
		m := l.members[n%len(l.members)]
		waitFor(l.t, "answer to a resend of "+s.id, func() bool {
			a, err := m.try(context.Background(), m.operator(l.t), s.id, s.base)
			if err == nil && final(a) {
				s.again = append(s.again, a)
			}
			return err == nil && final(a)
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, breach := range checkChanges(l.start, l.members[0].version(l.t), l.submissions, l.seen) {
		l.t.Error(breach)
	}
}

// checkChanges returns every breach of an invariant of changes: all submissions have final answers, and
// end is the version of an instance after everything was resolved.
func checkChanges(start, end configuration.Version, all []*submission, seen map[string][]configuration.Version) (breaches []string) {
	winners := map[configuration.Version]string{}
	wins := 0
	for _, s := range all {
		if won(s.answer) {
			wins++
			if other, taken := winners[s.base]; taken {
				breaches = append(breaches, fmt.Sprintf("%s and %s both won base %d", other, s.id, s.base))
			}
			winners[s.base] = s.id
			if s.answer.Version != s.base+1 {
				breaches = append(breaches, fmt.Sprintf("%s won base %d with version %d", s.id, s.base, s.answer.Version))
			}
		}
		for _, a := range s.again {
			if won(a) != won(s.answer) || won(a) && a.Version != s.answer.Version {
				breaches = append(breaches, fmt.Sprintf("%s was answered %+v and then %+v", s.id, s.answer, a))
			}
		}
	}
	for _, s := range all {
		if _, taken := winners[s.base]; !taken {
			breaches = append(breaches, fmt.Sprintf("base %d of %s has no winner", s.base, s.id))
		}
	}
	if end != start+configuration.Version(wins) {
		breaches = append(breaches, fmt.Sprintf("version %d after %d won changes from version %d", end, wins, start))
	}
	for instance, versions := range seen {
		for n := 1; n < len(versions); n++ {
			if versions[n] < versions[n-1] {
				breaches = append(breaches, fmt.Sprintf("%s went from version %d back to %d", instance, versions[n-1], versions[n]))
			}
		}
	}
	return breaches
}

// Guards against a checker of changes that passes whatever it sees.
func TestChangeCheckerSeesBrokenHistories(t *testing.T) {
	answer := func(o control.Outcome, v configuration.Version) control.ChangeResult {
		return control.ChangeResult{Outcome: o, Version: v}
	}
	a := &submission{id: "a", base: 1, answer: answer(control.OutcomeAccepted, 2)}
	lost := &submission{id: "b", base: 1, answer: answer(control.OutcomeConflict, 2)}
	both := &submission{id: "c", base: 1, answer: answer(control.OutcomeCommitted, 2)}
	changed := &submission{id: "d", base: 1, answer: a.answer, again: []control.ChangeResult{answer(control.OutcomeConflict, 2)}}
	skipped := &submission{id: "e", base: 1, answer: answer(control.OutcomeAccepted, 3)}
	for _, test := range []struct {
		name string
		end  configuration.Version
		all  []*submission
		seen []configuration.Version
		want int
	}{
		{"one winner", 2, []*submission{a, lost}, []configuration.Version{1, 2}, 0},
		{"two winners", 3, []*submission{a, both}, nil, 1},
		{"no winner", 1, []*submission{lost}, nil, 1},
		{"lost change", 1, []*submission{a}, nil, 1},
		{"change that nobody was told of", 3, []*submission{a}, nil, 1},
		{"resend with another result", 2, []*submission{changed}, nil, 1},
		{"version that skips", 2, []*submission{skipped}, nil, 1},
		{"version that goes back", 2, []*submission{a}, []configuration.Version{1, 2, 1}, 1},
	} {
		if got := checkChanges(1, test.end, test.all, map[string][]configuration.Version{"x": test.seen}); len(got) != test.want {
			t.Errorf("%s: breaches %v, want %d", test.name, got, test.want)
		}
	}
}
