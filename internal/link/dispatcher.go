package link

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/primrosebeam/primrosebeam/ring"
)

// job is one received message and its handler.
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

// handlerQueue holds the messages of one kind and type (call or one-way) from one connection.
type handlerQueue struct {
	limit   int // maximum concurrent handlers
	running int
	waiting *ring.Ring[*job] // allocated when limit is first reached
}

// dispatcher runs the handlers for one connection. Messages of different kinds do not wait for each other.
// One-way messages of a kind are handled sequentially in the order of arrival; at most callLimit calls of a
// kind are handled concurrently. When all handlers of a kind are busy, at most queueLimit messages of that kind
// wait; further one-way messages are dropped and further calls fail with CodeBusy.
type dispatcher struct {
	callLimit  int
	queueLimit int
	running    *atomic.Int64 // number of running handlers, shared by all connections of a node

	mu     sync.Mutex
	queues map[handlerQueueKey]*handlerQueue
}

func newDispatcher(callLimit, queueLimit int, running *atomic.Int64) *dispatcher {
	return &dispatcher{
		callLimit: callLimit, queueLimit: queueLimit, running: running, queues: map[handlerQueueKey]*handlerQueue{},
	}
}

// deliver starts or queues a job without blocking. It returns *ring.FullError if the queue is full.
func (d *dispatcher) deliver(ctx context.Context, j *job) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := handlerQueueKey{kind: j.frame.Kind, call: j.reply != nil}
	queue, known := d.queues[key]
	if !known {
		queue = &handlerQueue{limit: 1}
		if key.call {
			queue.limit = d.callLimit
		}
		d.queues[key] = queue
	}
	if queue.running < queue.limit {
		queue.running++
		d.running.Add(1)
		go d.runJobs(ctx, queue, j)
		return nil
	}
	if queue.waiting == nil {
		queue.waiting = ring.New[*job](d.queueLimit)
	}
	return queue.waiting.Offer(j)
}

// runJobs runs j and then the waiting jobs of the queue until none is left.
func (d *dispatcher) runJobs(ctx context.Context, queue *handlerQueue, j *job) {
	defer d.running.Add(-1)
	for j != nil {
		j.run(ctx)
		j = d.next(ctx, queue)
	}
}

func (d *dispatcher) next(ctx context.Context, queue *handlerQueue) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
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
