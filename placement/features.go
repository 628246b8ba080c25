package placement

import (
	"fmt"
	"slices"
	"strings"
)

// Features selects the optional parts of the placement. With the zero value a Core decides as without any of them.
type Features struct {
	// FairShares divides the time of engines between workspaces while it is short.
	FairShares bool
	// LearnedLimits keeps the number of requests on an engine at what the engine was found to take well.
	LearnedLimits bool
	// BestFit holds a request back while the free engines fit it badly and a better one becomes free in time.
	BestFit bool
}

// featureNames maps the names in settings to the switches.
var featureNames = map[string]func(*Features) *bool{
	"fair-shares":    func(f *Features) *bool { return &f.FairShares },
	"learned-limits": func(f *Features) *bool { return &f.LearnedLimits },
	"best-fit":       func(f *Features) *bool { return &f.BestFit },
}

// UnknownFeatureError reports a name that is none of a feature.
type UnknownFeatureError struct{ Name string }

func (e *UnknownFeatureError) Error() string {
	names := make([]string, 0, len(featureNames))
	for name := range featureNames {
		names = append(names, name)
	}
	slices.Sort(names)
	return fmt.Sprintf("unknown feature %q, must be one of %s", e.Name, strings.Join(names, ", "))
}

// ParseFeatures parses a list of names that are separated by commas; an empty one selects none. The error is an
// *UnknownFeatureError.
func ParseFeatures(list string) (Features, error) {
	var f Features
	if list == "" {
		return f, nil
	}
	for name := range strings.SplitSeq(list, ",") {
		feature, known := featureNames[name]
		if !known {
			return Features{}, &UnknownFeatureError{Name: name}
		}
		*feature(&f) = true
	}
	return f, nil
}

// String returns the names of the selected features in the form that ParseFeatures reads.
func (f Features) String() string {
	var names []string
	for name, feature := range featureNames {
		if *feature(&f) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}
