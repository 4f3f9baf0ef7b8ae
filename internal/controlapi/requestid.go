package controlapi

import (
	"crypto/sha256"
	"encoding/hex"
)

// requestIDBytes is the length of a request id before hex encoding.
const hashBytes = 16

// RequestIDFor returns the id of the request with idempotency key key of caller.
func RequestIDFor(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return hex.EncodeToString(sum[:hashBytes])
}

// BodyHash returns the identity of a request body sent to a service and path.
func BodyHash(service, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(service + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}
