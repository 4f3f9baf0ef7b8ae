package fake

import "sync"

// slots is a bounded pool of upstream slots with a bounded queue. Waiters are served
// by priority, and first come, first served within a priority.
type slots struct {
	mu         sync.Mutex
	capacity   int
	queueLimit int
	inUse      int
	waiting    []*waiter
}

// waiter is a request that holds a slot or waits for one.
type waiter struct {
	priority int
	acquired chan struct{}
}

// acquire returns a waiter whose acquired channel is closed once it holds a slot, or nil if
// the queue is full.
func (s *slots) acquire(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, acquired: make(chan struct{})}
	if s.inUse < s.capacity {
		s.inUse++
		close(w.acquired)
		return w
	}
	if len(s.waiting) >= s.queueLimit {
		return nil
	}
	s.waiting = append(s.waiting, w)
	return w
}

// release returns the slot of w, or removes w from the queue.
func (s *slots) release(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.inUse--
	s.admitNext()
}

func (s *slots) admitNext() {
	best := -1
	for i, w := range s.waiting {
		if best < 0 || w.priority > s.waiting[best].priority {
			best = i
		}
	}
	if best < 0 || s.inUse >= s.capacity {
		return
	}
	w := s.waiting[best]
	s.waiting = append(s.waiting[:best], s.waiting[best+1:]...)
	s.inUse++
	close(w.acquired)
}

// load returns the number of slots in use and of queued waiters.
func (s *slots) load() (inUse, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse, len(s.waiting)
}
