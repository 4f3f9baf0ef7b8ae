package controlapi

import (
	"crypto/sha256"
	"encoding/hex"
)

// hashBytes is the length of request ids and body hashes before hex encoding.
const hashBytes = 16

// RequestIDFor returns the request id for an idempotency key of a caller.
func RequestIDFor(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\x00" + key))
	return hex.EncodeToString(sum[:hashBytes])
}

// BodyHash returns the hash that identifies a request body sent to a service and path.
func BodyHash(service, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(service + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:hashBytes])
}
