package link

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/primrosebeam/primrosebeam/ring"
)

// job is one received message with its handler.
type job struct {
	handler Handler
	from    Sender
	frame   frame
	reply   func(f frame, reply any, err error) // nil for one-way messages
}

type laneKey struct {
	kind Kind
	call bool
}

// lane holds the messages of one kind from one connection.
type lane struct {
	limit   int // handlers at once
	running int
	waiting *ring.Ring[*job] // allocated when the limit is first reached
}

// lanes runs the handlers for one connection. Kinds do not wait for each other. One-way messages of
// a kind run one after the other in the order of arrival; calls of a kind run at most callLimit at
// once. When all handlers of a kind are busy, at most queueLimit messages of it wait; further
// one-way messages are dropped and further calls are answered with CodeBusy.
type lanes struct {
	callLimit  int
	queueLimit int
	running    *atomic.Int64 // handlers at work, shared by all connections of a node

	mu   sync.Mutex
	byID map[laneKey]*lane
}

func newLanes(callLimit, queueLimit int, running *atomic.Int64) *lanes {
	return &lanes{callLimit: callLimit, queueLimit: queueLimit, running: running, byID: map[laneKey]*lane{}}
}

// deliver starts or queues a job; it never blocks. It returns *ring.FullError when the lane is full.
func (l *lanes) deliver(ctx context.Context, j *job) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := laneKey{kind: j.frame.Kind, call: j.reply != nil}
	target, known := l.byID[key]
	if !known {
		target = &lane{limit: 1}
		if key.call {
			target.limit = l.callLimit
		}
		l.byID[key] = target
	}
	if target.running < target.limit {
		target.running++
		l.running.Add(1)
		go l.work(ctx, target, j)
		return nil
	}
	if target.waiting == nil {
		target.waiting = ring.New[*job](l.queueLimit)
	}
	return target.waiting.Offer(j)
}

// work runs jobs of a lane until none waits.
func (l *lanes) work(ctx context.Context, from *lane, j *job) {
	defer l.running.Add(-1)
	for j != nil {
		j.run(ctx)
		j = l.next(ctx, from)
	}
}

func (l *lanes) next(ctx context.Context, from *lane) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from.waiting != nil && ctx.Err() == nil {
		if j, ok := from.waiting.TryTake(); ok {
			return j
		}
	}
	from.running--
	return nil
}

func (j *job) run(ctx context.Context) {
	reply, err := j.handler(ctx, j.from, j.frame.Body)
	if j.reply != nil {
		j.reply(j.frame, reply, err)
	}
}
