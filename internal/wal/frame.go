package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// A frame is one batch on disk:
//
//	magic u32 | payload length u32 | sequence u64 | payload CRC u32 | header CRC u32 | payload | trailer u8
//
// Integers are little-endian, checksums are CRC-32C. Sequence numbers rise by
// one. The magic and the trailer are not zero, so that a frame of which a
// sector was never written is recognised.
const (
	headerBytes  = 24
	trailerBytes = 1
	frameMagic   = 0x4c57_4247
	frameTrailer = 0xa5
	// maxPayloadBytes bounds the payload of one frame.
	maxPayloadBytes = 256 << 20
	// sectorBytes is the smallest unit that a disk writes.
	sectorBytes = 512
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports damage that a crash can't explain. The log is not used.
var ErrCorrupt = eris.New("log is corrupt")

func encodeFrame(sequence uint64, payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload)+trailerBytes)
	binary.LittleEndian.PutUint32(frame, frameMagic)
	binary.LittleEndian.PutUint32(frame[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(frame[8:], sequence)
	binary.LittleEndian.PutUint32(frame[16:], crc32.Checksum(payload, crcTable))
	binary.LittleEndian.PutUint32(frame[20:], crc32.Checksum(frame[:20], crcTable))
	frame = append(frame, payload...)
	return append(frame, frameTrailer)
}

type frame struct {
	sequence uint64
	payload  []byte
	size     int // whole frame, in bytes
}

// header is a decoded frame header.
type header struct {
	sequence   uint64
	payloadCRC uint32
	length     int
}

func (h header) frameSize() int { return headerBytes + h.length + trailerBytes }

// decodeHeader returns false if data does not begin with a valid header.
func decodeHeader(data []byte) (header, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return header{}, false
	}
	if crc32.Checksum(data[:20], crcTable) != binary.LittleEndian.Uint32(data[20:]) {
		return header{}, false
	}
	h := header{
		length:     int(binary.LittleEndian.Uint32(data[4:])),
		sequence:   binary.LittleEndian.Uint64(data[8:]),
		payloadCRC: binary.LittleEndian.Uint32(data[16:]),
	}
	return h, h.length <= maxPayloadBytes
}

// decodeFrame returns false if data does not begin with a whole, intact frame.
func decodeFrame(data []byte) (frame, bool) {
	h, ok := decodeHeader(data)
	if !ok || len(data) < h.frameSize() {
		return frame{}, false
	}
	payload := data[headerBytes : headerBytes+h.length]
	if data[h.frameSize()-1] != frameTrailer || crc32.Checksum(payload, crcTable) != h.payloadCRC {
		return frame{}, false
	}
	return frame{sequence: h.sequence, payload: payload, size: h.frameSize()}, true
}

// torn tells whether the bytes of data from offset on can be what a crash left
// of one unsynced batch: the file ends within it, or a sector of it was never
// written, and no later batch follows. A batch is written only after the one
// before it is synced, so a later one proves that the bad one was whole once.
func torn(data []byte, offset int, expected uint64) bool {
	if followed(data[offset:], expected) {
		return false
	}
	end := offset + headerBytes
	if h, ok := decodeHeader(data[offset:]); ok {
		end = offset + h.frameSize()
	}
	return end > len(data) || zeroSector(data, offset, end)
}

// zeroSector tells whether a sector's share of data[from:to] is all zero.
func zeroSector(data []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sectorBytes+1)*sectorBytes)
		if allZero(data[from:end]) {
			return true
		}
		from = end
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// followed tells whether an intact frame with a later sequence stands in data.
func followed(data []byte, expected uint64) bool {
	for i := range data {
		if f, ok := decodeFrame(data[i:]); ok && f.sequence > expected {
			return true
		}
	}
	return false
}
