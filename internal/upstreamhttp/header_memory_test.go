package upstreamhttp_test

import (
	"context"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that outlast their deadline while they wait for memory for the header of their answer.
func TestAnswerWithManyHeaderFieldsIsGivenUpAtTheDeadline(t *testing.T) {
	const answers, interval = 3, 200 * time.Millisecond
	softLimit := debug.SetMemoryLimit(60 << 20)
	defer debug.SetMemoryLimit(softLimit)
	g := NewWithT(t)
	fields := strings.Repeat("a:\n", (60<<10)/3)
	address := serveBytes(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n", fields, "\r\n")
	client := newClient()
	end := make(chan struct{}) // the answers that were read take memory until then
	returned := make(chan time.Duration, answers)
	var requests sync.WaitGroup
	for range answers {
		requests.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), heldTimeout)
			defer cancel()
			began := time.Now()
			answer, err := client.Do(ctx, address, request)
			returned <- time.Since(began)
			if err == nil {
				<-end
				answer.Close()
			}
		})
		time.Sleep(interval)
	}
	g.Eventually(func() int { return len(returned) }, heldTimeout+lateness).Should(Equal(answers))
	close(end)
	requests.Wait()
}
