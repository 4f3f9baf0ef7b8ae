package fake

import "sync"

// slots hands out a bounded number of places; those that wait are served by
// priority, and in order of arrival within a priority.
type slots struct {
	mu       sync.Mutex
	capacity int
	queueMax int
	inUse    int
	waiting  []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

// enter returns a waiter whose channel is closed when it has a place, or nil if the queue is full.
func (s *slots) enter(priority int) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, granted: make(chan struct{})}
	if s.inUse < s.capacity {
		s.inUse++
		close(w.granted)
		return w
	}
	if len(s.waiting) >= s.queueMax {
		return nil
	}
	s.waiting = append(s.waiting, w)
	return w
}

// leave gives up the place of w, or its wait for one.
func (s *slots) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.inUse--
	s.grantNext()
}

func (s *slots) grantNext() {
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
	close(w.granted)
}

// load returns the number of places in use and of waiters.
func (s *slots) load() (inUse, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse, len(s.waiting)
}
