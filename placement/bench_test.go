package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRequest measures what one model request costs the allocator (arrival, grant, first event,
// end) with all places taken, so that requests wait.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{12, 112, 600} {
		for _, waiting := range []int{10, 300} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) {
				c := New()
				var list []Engine
				for i := range engines {
					list = append(list, testEngine(fmt.Sprint("e", i), 8))
				}
				c.SetEngines(list)
				now := time.Duration(0)
				running := []RequestID{}
				arrive := func(i int) {
					r := testRequest(fmt.Sprint(i))
					r.Objective, r.StartBy, r.Deadline = now+time.Hour, now+time.Hour, now+time.Hour
					c.Arrive(now, r)
					grants, _ := c.Decide(now)
					for _, g := range grants {
						running = append(running, g.Request)
						c.Started(now, g.Request)
					}
				}
				for i := range engines*8 + waiting {
					arrive(i)
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now += time.Millisecond
					arrive(engines*8 + waiting + i)
					c.End(now, running[0], OutcomeAnswered, 10)
					running = running[1:]
				}
			})
		}
	}
}
