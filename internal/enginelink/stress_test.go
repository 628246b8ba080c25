package enginelink

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against connections that are lost, shared or left open, and requests that are never served, when requests are
// cancelled, connections break and copies of responses arrive at random.
func TestPoolUnderRandomFailures(t *testing.T) {
	is := is.New(t)
	before := runtime.NumGoroutine()
	p, e := newTestPool(t, 4, func(c net.Conn, id string, number int) {
		switch rand.IntN(20) {
		case 0:
			c.Close()
			return
		case 1:
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		case 2:
			answerWithID(c, id, number) // a copy
		case 3:
			fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
			return
		}
		answerWithID(c, id, number)
	})
	var workers sync.WaitGroup
	for worker := range 16 {
		workers.Go(func() {
			for i := range 400 {
				id := fmt.Sprint(worker, "-", rand.IntN(i+1))
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				if rand.IntN(4) == 0 {
					ctx, cancel = context.WithTimeout(t.Context(), time.Duration(rand.IntN(1000))*time.Microsecond)
				}
				l, err := p.Acquire(ctx, e.address, id, nil)
				if err != nil {
					if ctx.Err() == nil {
						t.Error(err)
					}
					cancel()
					continue
				}
				r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/", nil)
				r.Header.Set("Id", id)
				response, err := l.RoundTrip(r)
				if err != nil {
					l.Unsent()
				} else {
					response.Body.Close()
					if response.Header.Get("Id") != id {
						l.Close()
					}
				}
				l.Release()
				cancel()
			}
		})
	}
	workers.Wait()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		p.CloseIdle()
		p.mu.Lock()
		waiting := len(p.waiting)
		p.mu.Unlock()
		if waiting == 0 && runtime.NumGoroutine() <= before+1 {
			break
		}
		if time.Now().After(deadline) {
			buf := make([]byte, 1<<20)
			t.Fatalf("%d goroutines, %d before, %d waiting\n%s", runtime.NumGoroutine(), before, waiting, buf[:runtime.Stack(buf, true)])
		}
	}
	is.Equal(len(p.waiting), 0)
}
