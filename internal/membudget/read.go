package membudget

import (
	"errors"
	"io"
)

const (
	// initialBufferBytes is the capacity of a buffer when the first bytes are read into it.
	initialBufferBytes = 4 << 10
	// growthFactor is large, as the buffers that were outgrown take memory until they are collected.
	growthFactor = 4
	// provenBytes is how much must have been read before memory is taken for a whole length that was declared.
	provenBytes = 64 << 10
)

// Grow returns data with a larger capacity, up to limit bytes. Beside data the hold has used bytes for other things. While
// the data is copied the hold is at most half as large again as limit.
func (h *Hold) Grow(cancelled <-chan struct{}, data []byte, used, limit int64) ([]byte, error) {
	capacity := max(growthFactor*int64(cap(data)), initialBufferBytes)
	if capacity > limit/2 {
		capacity = limit
	}
	return h.grow(cancelled, data, used, capacity)
}

func (h *Hold) grow(cancelled <-chan struct{}, data []byte, used, capacity int64) ([]byte, error) {
	if err := h.Resize(cancelled, used+int64(cap(data))+capacity); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), capacity)
	copy(grown, data)
	return grown, h.Resize(cancelled, used+capacity)
}

// ReadAll reads r to its end, or limit bytes and one if it is longer. The length is the one that was declared, or
// negative. Beside what is read the hold has used bytes for other things; it keeps the size of what was read.
func (h *Hold) ReadAll(cancelled <-chan struct{}, r io.Reader, used, length, limit int64) (data []byte, err error) {
	for int64(len(data)) <= limit {
		switch {
		case len(data) < cap(data):
		case len(data) <= int(length) && length <= limit && (length < provenBytes || len(data) >= provenBytes):
			data, err = h.grow(cancelled, data, used, length+1)
		default:
			data, err = h.Grow(cancelled, data, used, limit+1)
		}
		if err != nil {
			return nil, err
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}
