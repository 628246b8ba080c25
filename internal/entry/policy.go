package entry

import (
	"fmt"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/label"
	"github.com/primrosebeam/primrosebeam/scheduler"
)

// Policy converts a configuration into the scheduler's policy for an instance in dataCentre.
func Policy(document *configuration.Document, dataCentre string) (scheduler.Policy, error) {
	policy := scheduler.Policy{DataCentre: dataCentre, Distance: map[string]time.Duration{}}
	for _, t := range document.Tiers {
		policy.Tiers = append(policy.Tiers, scheduler.Tier{
			Name: t.Name, FirstToken: t.FirstToken.Std(), BetweenTokens: t.BetweenTokens.Std(),
			Deadline: t.Deadline.Std(), QueueLimit: t.QueueLimit, MinimumShare: t.MinimumShare,
		})
	}
	for _, w := range document.Workspaces {
		policy.Workspaces = append(policy.Workspaces, scheduler.Workspace{Name: w.Name, Weight: w.Weight})
	}
	for _, s := range document.Services {
		selector, err := label.ParseSelector(s.Engines)
		if err != nil {
			return scheduler.Policy{}, fmt.Errorf("entry: service %q: %w", s.Name, err)
		}
		service := scheduler.Service{Name: s.Name, Selector: selector, RetryBudget: s.RetryBudget}
		if s.Kind == configuration.KindModel {
			service.Kind = scheduler.KindModel
		}
		policy.Services = append(policy.Services, service)
	}
	for _, e := range document.Engines {
		policy.Engines = append(policy.Engines, scheduler.Engine{
			Name: e.Name, DataCentre: e.DataCentre, Labels: e.Labels, MaxInFlight: e.MaxInFlight, Drained: e.Drained,
		})
	}
	for _, l := range document.Links {
		for i, end := range l.Between {
			if end == dataCentre && len(l.Between) == 2 {
				policy.Distance[l.Between[1-i]] = l.Latency.Std()
			}
		}
	}
	return policy, nil
}
