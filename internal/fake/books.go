package fake

import (
	"slices"
	"sync"
)

// Books holds the number series and the diary behind the replicas of a plain service.
type Books struct {
	mu     sync.Mutex
	series map[string]int64
	diary  []Booking
}

// Booking is one confirmed booking.
type Booking struct {
	Number int64  `json:"number"`
	Text   string `json:"text"`
}

// NewBooks returns empty books.
func NewBooks() *Books {
	return &Books{series: map[string]int64{}}
}

func (b *Books) next(series string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.series[series]++
	return b.series[series]
}

func (b *Books) last(series string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.series[series]
}

func (b *Books) book(text []byte) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := int64(len(b.diary)) + 1
	b.diary = append(b.diary, Booking{Number: n, Text: string(text)})
	return n
}

func (b *Books) bookings() []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.diary)
}
