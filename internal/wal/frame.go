package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/rotisserie/eris"
)

// A frame is the encoding of one batch on disk:
//
//	magic u32 | payload length u32 | sequence u64 | payload CRC u32 | header CRC u32 | payload | trailer u8
//
// Integers are little-endian, checksums are CRC-32C. Sequence numbers increase by
// one. The magic and the trailer are not zero, so that a frame with an unwritten
// (all-zero) sector is recognised.
const (
	headerBytes  = 24
	trailerBytes = 1
	frameMagic   = 0x4c57_4247
	frameTrailer = 0xa5
	// maxPayloadBytes limits the payload of one frame.
	maxPayloadBytes = 256 << 20
	// sectorBytes is the smallest unit that a disk is assumed to write.
	sectorBytes = 512
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports damage that can't result from a crash. Open fails with it.
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
	size     int // size of the whole frame, in bytes
}

// frameHeader is a decoded frame header.
type frameHeader struct {
	sequence   uint64
	payloadCRC uint32
	length     int
}

func (h frameHeader) frameSize() int { return headerBytes + h.length + trailerBytes }

// decodeHeader returns false if data does not begin with a valid header.
func decodeHeader(data []byte) (frameHeader, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return frameHeader{}, false
	}
	if crc32.Checksum(data[:20], crcTable) != binary.LittleEndian.Uint32(data[20:]) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length:     int(binary.LittleEndian.Uint32(data[4:])),
		sequence:   binary.LittleEndian.Uint64(data[8:]),
		payloadCRC: binary.LittleEndian.Uint32(data[16:]),
	}
	return h, h.length <= maxPayloadBytes
}

// decodeFrame returns false if data does not begin with a complete, intact frame.
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

// isTornTail reports whether data[offset:] may be an unsynced batch that a crash
// left incomplete: the file ends within it, or a sector of it was never written,
// and no later batch follows. A batch is written only after the preceding one is
// synced, so a later batch proves that the damaged one was once complete.
func isTornTail(data []byte, offset int, expected uint64) bool {
	if hasLaterFrame(data[offset:], expected) {
		return false
	}
	end := offset + headerBytes
	if h, ok := decodeHeader(data[offset:]); ok {
		end = offset + h.frameSize()
	}
	return end > len(data) || hasZeroSector(data, offset, end)
}

// hasZeroSector reports whether the part of data[from:to] in any one disk sector is
// all zero.
func hasZeroSector(data []byte, from, to int) bool {
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

// hasLaterFrame reports whether data contains an intact frame with a sequence
// number greater than expected.
func hasLaterFrame(data []byte, expected uint64) bool {
	for i := range data {
		if f, ok := decodeFrame(data[i:]); ok && f.sequence > expected {
			return true
		}
	}
	return false
}
