package main

import (
	"time"

	"github.com/primrosebeam/primrosebeam/platform/standin"
)

func firstStart(r *record, folder string, trouble bool) (broken bool, err error) {
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
	first := s.cores[0]
	if err := s.start(first); err != nil {
		return false, err
	}
	time.Sleep(250 * time.Millisecond)
	if trouble {
		s.kill(first)
		r.printf("core %s killed", first.settings.Address)
	}
	for _, p := range append(append([]*process{}, s.cores[1:]...), s.edges...) {
		if err := s.start(p); err != nil {
			return false, err
		}
	}
	if trouble {
		time.Sleep(3500 * time.Millisecond)
		first.settings.Bootstrap = false // it is not the first start of the whole system any more
		if err := s.start(first); err != nil {
			return false, err
		}
	}
	if err := s.order(standin.Document(1, standin.WorkspaceKey), 60*time.Second); err != nil {
		r.printf("%v", err)
		return true, nil
	}
	return false, s.awaitReady(20 * time.Second)
}
