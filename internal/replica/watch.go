package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/primrosebeam/primrosebeam/consensus"
)

const (
	// absenceReportDelay is the time without a leader after which it is reported. Later reports follow after twice the
	// time of the one before.
	absenceReportDelay = 2 * time.Second
	// redundancyReportDelay is the time that the number of bearable losses must last to be reported: a voter that only
	// restarts is silent for less.
	redundancyReportDelay = 2 * time.Second
)

// watch logs what an operator needs to know about the members of the log. It keeps what was reported last.
type watch struct {
	configuration consensus.Configuration
	leaderlessAt  time.Time // zero while a leader is known
	nextReport    time.Duration
	margin        margin
}

// margin is the number of further voters that the log bears to lose, and since when.
type margin struct {
	current, reported int
	since             time.Time
}

// update returns whether a margin differs from the reported one and has lasted for redundancyReportDelay.
func (m *margin) update(now time.Time, current int) bool {
	if current != m.current {
		m.current, m.since = current, now
	}
	if m.current == m.reported || now.Sub(m.since) < redundancyReportDelay {
		return false
	}
	m.reported = m.current
	return true
}

// bearableLosses returns how many of the voters that reply now may be lost before there is no quorum, and how many
// that is while all reply. Both are known to the leader only.
func bearableLosses(s *consensus.Status, targetVoters int) (now, wanted int) {
	voters := max(targetVoters, len(s.Configuration.Voters))
	return s.Responsive - s.Configuration.Quorum(), voters - (voters/2 + 1)
}

// observeMembers logs changes of the membership, a lack of a leader, and a change of the number of losses that the log
// still bears.
func (r *Replica) observeMembers(now time.Time) {
	status := &r.state.Load().Node
	w := &r.watch
	if c := status.Configuration; !slices.Equal(c.Voters, w.configuration.Voters) || !slices.Equal(c.Learners, w.configuration.Learners) {
		w.configuration = c
		r.logger.Info().Stringers("voters", stringers(c.Voters)).Stringers("learners", stringers(c.Learners)).
			Bool("member", c.Contains(status.Self)).Uint64("term", status.Term).Msg("membership changed")
	}
	r.reportAbsence(now, status)
	if status.Role != consensus.Leader.String() {
		w.margin = margin{}
		return
	}
	left, wanted := bearableLosses(status, r.options.MembershipPolicy.TargetVoters)
	if w.margin.since.IsZero() {
		w.margin = margin{current: left, reported: wanted, since: now}
	}
	if !w.margin.update(now, left) {
		return
	}
	event := r.logger.Info()
	if left < wanted {
		event = r.logger.Warn()
	}
	event.Int("bearable", left).Int("wanted", wanted).Stringers("silent", stringers(silentVoters(status))).
		Msg("number of tolerable losses changed")
}

// reportAbsence logs that this replica has known no leader for some time.
func (r *Replica) reportAbsence(now time.Time, status *consensus.Status) {
	w := &r.watch
	if !status.Leader.IsZero() || r.failure != nil {
		w.leaderlessAt = time.Time{}
		return
	}
	if w.leaderlessAt.IsZero() {
		w.leaderlessAt, w.nextReport = now, absenceReportDelay
	}
	if now.Sub(w.leaderlessAt) < w.nextReport {
		return
	}
	w.nextReport *= 2
	c := status.Configuration
	r.logger.Warn().Dur("since", now.Sub(w.leaderlessAt)).Bool("member", c.Contains(status.Self)).
		Stringers("voters", stringers(c.Voters)).Int("quorum", c.Quorum()).Int("votes", status.Votes).
		Uint64("lastEntry", status.Last).Strs("asked", status.JoinTargets).Msg("no leader is known")
}

// silentVoters returns the voters that have not replied to the leader for longer than an election timeout.
func silentVoters(s *consensus.Status) []consensus.ID {
	var silent []consensus.ID
	for _, m := range s.Members {
		if m.Silent && s.Configuration.IsVoter(m.ID) {
			silent = append(silent, m.ID)
		}
	}
	return silent
}

func stringers(ids []consensus.ID) []fmt.Stringer {
	out := make([]fmt.Stringer, len(ids))
	for i, id := range ids {
		out[i] = id
	}
	return out
}
