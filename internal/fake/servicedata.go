package fake

import (
	"slices"
	"sync"
)

// ServiceData holds the number series and the bookings of a plain service, which its
// replicas share.
type ServiceData struct {
	mu       sync.Mutex
	series   map[string]int64
	bookings []Booking
}

// Booking is one recorded booking.
type Booking struct {
	Number int64  `json:"number"`
	Text   string `json:"text"`
}

// NewServiceData returns data without series and bookings.
func NewServiceData() *ServiceData {
	return &ServiceData{series: map[string]int64{}}
}

func (d *ServiceData) nextNumber(series string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.series[series]++
	return d.series[series]
}

func (d *ServiceData) lastNumber(series string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.series[series]
}

func (d *ServiceData) addBooking(text []byte) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := int64(len(d.bookings)) + 1
	d.bookings = append(d.bookings, Booking{Number: n, Text: string(text)})
	return n
}

func (d *ServiceData) listBookings() []Booking {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.bookings)
}
