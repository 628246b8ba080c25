package fleet

import (
	"time"

	"github.com/primrosebeam/primrosebeam/rollout"
)

// StoreOrder asks the leader to store an operator's order.
type StoreOrder struct {
	Order rollout.Order `cbor:"1,keyasint"` // OrderedAtMS is set by the leader
}

// OrderStored is the reply to StoreOrder.
type OrderStored struct {
	Outcome rollout.Outcome `cbor:"1,keyasint"`
	Rollout rollout.Rollout `cbor:"2,keyasint"`
}

// MaxMeasuredSamples bounds the samples of a service in an update. Beyond it requests are only counted.
const MaxMeasuredSamples = 64

// Measured holds the requests of an instance to a plain service since its last update.
type Measured struct {
	Service  string           `cbor:"1,keyasint"`
	Requests int              `cbor:"2,keyasint"`
	Samples  []MeasuredSample `cbor:"3,keyasint,omitempty"`
}

// MeasuredSample is a request that has ended.
type MeasuredSample struct {
	Engine string `cbor:"1,keyasint"`
	Route  string `cbor:"2,keyasint,omitempty"`
	Failed bool   `cbor:"3,keyasint,omitempty"`
	TookUS int64  `cbor:"4,keyasint,omitempty"` // microseconds
}

// AddMeasured adds a request to a plain service.
func (u *Update) AddMeasured(service string, s MeasuredSample) {
	for i := range u.Measured {
		if u.Measured[i].Service == service {
			u.Measured[i].add(s)
			return
		}
	}
	u.Measured = append(u.Measured, Measured{Service: service})
	u.Measured[len(u.Measured)-1].add(s)
}

func (m *Measured) add(s MeasuredSample) {
	m.Requests++
	if len(m.Samples) < MaxMeasuredSamples {
		m.Samples = append(m.Samples, s)
	}
}

// RolloutSamples returns the samples in the form that a trial takes.
func (m *Measured) RolloutSamples() []rollout.Sample {
	samples := make([]rollout.Sample, len(m.Samples))
	for i, s := range m.Samples {
		samples[i] = rollout.Sample{
			Engine: s.Engine, Route: s.Route, Ended: true, Failed: s.Failed, First: time.Duration(s.TookUS) * time.Microsecond,
		}
	}
	return samples
}
