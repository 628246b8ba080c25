package logging

import (
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/journal"
)

// SlowDisk returns a function for journal.ReportSlow that logs a warning for each report.
func SlowDisk(logger zerolog.Logger) func(journal.SlowOperation) {
	return func(s journal.SlowOperation) {
		message := "an operation of the disk has not ended yet"
		if s.Ended {
			message = "an operation of the disk was slow"
		}
		logger.Warn().Str("operation", string(s.Operation)).Str("path", s.Path).Dur("took", s.Took).Msg(message)
	}
}
