package request

// queue is a first-in, first-out queue.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) push(item T) { q.items = append(q.items, item) }

func (q *queue[T]) first() T { return q.items[q.head] }

func (q *queue[T]) pop() T {
	item := q.items[q.head]
	var zero T
	q.items[q.head] = zero
	q.head++
	if q.head > len(q.items)/2 {
		q.items = append([]T(nil), q.items[q.head:]...)
		q.head = 0
	}
	return item
}
