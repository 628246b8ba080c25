package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/primrosebeam/primrosebeam/platform/standin"
)

const revokeBound = 5 * time.Second // RevokeMs of the settings

// keyedDocument returns a document whose routes all need the key of its only tenant.
func keyedDocument(version int) []byte {
	document := standin.Document(version, standin.WorkspaceKey)
	return bytes.ReplaceAll(document, []byte(`"StreamResume"`), []byte(`"Anonymous":false,"StreamResume"`))
}

// withoutTenants returns the document with an empty list of tenants.
func withoutTenants(document []byte) []byte {
	at := bytes.Index(document, []byte(`"Tenants":[`))
	return append(append([]byte{}, document[:at]...), []byte(`"Tenants":[]}`)...)
}

// revokeLast takes the only tenant, and with it its key, out of the configuration. Requests with its key that are sent
// after the bound must not run.
func revokeLast(r *record, folder string, trouble bool) (broken bool, err error) {
	s, err := newSystem(r, folder, 3, 3)
	if err != nil {
		return false, err
	}
	defer s.stop()
	for i := range 2 {
		if _, err := s.addEngine(50+i, standin.PlainService, 0, 2*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, p := range append(append([]*process{}, s.cores...), s.edges...) {
		if err := s.start(p); err != nil {
			return false, err
		}
	}
	if err := s.order(keyedDocument(1), 20*time.Second); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	for i, p := range s.edges {
		attempt := fmt.Sprint("before-", i)
		a := s.ask(p, http.MethodPost, standin.NonIdempotentPath+"x", attempt, standin.WorkspaceKey, "body", nil)
		r.printf("%s with the key to %s: %s; runs: %d", attempt, p.settings.Address, a, len(s.runsOf(attempt)))
		if a.status != http.StatusOK {
			return false, fmt.Errorf("no service before the change: %s", a)
		}
	}
	next := keyedDocument(2)
	if trouble {
		next = withoutTenants(next)
	}
	if err := s.order(next, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(revokeBound + time.Second)
	for i, p := range s.edges {
		for j, key := range []string{standin.WorkspaceKey, "a-key-that-never-was"} {
			attempt := fmt.Sprintf("after-%d-%d", i, j)
			a := s.ask(p, http.MethodPost, standin.NonIdempotentPath+"x", attempt, key, "body", nil)
			runs := s.runsOf(attempt)
			r.printf("%s with key %q to %s: %s; runs: %d", attempt, key, p.settings.Address, a, len(runs))
			for _, run := range runs {
				r.printf("  run of %s: X-Tenant %q", attempt, run.Header.Get("X-Tenant"))
			}
			isRevoked := trouble || j == 1
			broken = broken || isRevoked && len(runs) > 0
		}
	}
	return broken, nil
}
