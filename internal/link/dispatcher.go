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

type handlerQueueKey struct {
	kind Kind
	call bool
}

// handlerQueue holds the messages of one kind from one connection.
type handlerQueue struct {
	limit   int // handlers at once
	running int
	waiting *ring.Ring[*job] // allocated when the limit is first reached
}

// dispatcher runs the handlers for one connection. Kinds do not wait for each other. One-way messages of
// a kind run one after the other in the order of arrival; calls of a kind run at most callLimit at
// once. When all handlers of a kind are busy, at most queueLimit messages of it wait; further
// one-way messages are dropped and further calls are answered with CodeBusy.
type dispatcher struct {
	callLimit  int
	queueLimit int
	running    *atomic.Int64 // handlers at work, shared by all connections of a node

	mu     sync.Mutex
	queues map[handlerQueueKey]*handlerQueue
}

func newDispatcher(callLimit, queueLimit int, running *atomic.Int64) *dispatcher {
	return &dispatcher{callLimit: callLimit, queueLimit: queueLimit, running: running, queues: map[handlerQueueKey]*handlerQueue{}}
}

// deliver starts or queues a job; it never blocks. It returns *ring.FullError when the lane is full.
func (l *dispatcher) deliver(ctx context.Context, j *job) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := handlerQueueKey{kind: j.frame.Kind, call: j.reply != nil}
	queue, known := l.queues[key]
	if !known {
		queue = &handlerQueue{limit: 1}
		if key.call {
			queue.limit = l.callLimit
		}
		l.queues[key] = queue
	}
	if queue.running < queue.limit {
		queue.running++
		l.running.Add(1)
		go l.runJobs(ctx, queue, j)
		return nil
	}
	if queue.waiting == nil {
		queue.waiting = ring.New[*job](l.queueLimit)
	}
	return queue.waiting.Offer(j)
}

// runJobs runs jobs of a lane until none waits.
func (l *dispatcher) runJobs(ctx context.Context, queue *handlerQueue, j *job) {
	defer l.running.Add(-1)
	for j != nil {
		j.run(ctx)
		j = l.next(ctx, queue)
	}
}

func (l *dispatcher) next(ctx context.Context, queue *handlerQueue) *job {
	l.mu.Lock()
	defer l.mu.Unlock()
	if queue.waiting != nil && ctx.Err() == nil {
		if j, ok := queue.waiting.TryTake(); ok {
			return j
		}
	}
	queue.running--
	return nil
}

func (j *job) run(ctx context.Context) {
	reply, err := j.handler(ctx, j.from, j.frame.Body)
	if j.reply != nil {
		j.reply(j.frame, reply, err)
	}
}
