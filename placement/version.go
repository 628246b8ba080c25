package placement

// acceptsVersion reports whether an engine of a software version may run the request. What two versions write does not
// fit together, so a stream that was interrupted continues only at the version that began it.
func (r *Request) acceptsVersion(version string) bool { return r.Version == "" || r.Version == version }

// hasVersion reports whether an engine of a software version may get requests. It is true for every version while no
// engine of the service is listed, since the list may not have arrived yet.
func (s *service) hasVersion(version string) bool {
	if version == "" || len(s.engines)+len(s.restricted) == 0 {
		return true
	}
	for _, e := range s.engines {
		if !e.Leaving && e.Version == version {
			return true
		}
	}
	for _, e := range s.restricted {
		if !e.Leaving && e.Version == version && e.access != accessNone {
			return true
		}
	}
	return false
}

// OtherVersions returns the IDs of the engines of a service whose software version is not the given one.
func (b *Balancer) OtherVersions(service, version string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, e := range b.engines[service] {
		if e.Version != version {
			ids = append(ids, e.ID)
		}
	}
	return append(ids, b.otherVersionsInTrial(service, version)...)
}
