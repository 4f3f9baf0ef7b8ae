package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// operatorHashBytes is the number of leading bytes of a key's hash that identify its
// operator.
const operatorHashBytes = 4

// keyring holds the SHA-256 hashes of the operators' keys.
type keyring [][sha256.Size]byte

func newKeyring(hashes []string) keyring {
	ring := make(keyring, len(hashes))
	for i, text := range hashes {
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != sha256.Size {
			panic("operatorapi: a key hash is not a SHA-256 hash in hex")
		}
		copy(ring[i][:], sum)
	}
	return ring
}

// authenticate returns the name of the operator whose key r carries as a bearer token.
// The comparison takes constant time, so that its duration reveals nothing about a key.
func (k keyring) authenticate(r *http.Request) (string, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", errkind.New(errkind.Unauthenticated, "an operator key is required as a bearer token")
	}
	sum := sha256.Sum256([]byte(key))
	found := 0
	for i := range k {
		found |= subtle.ConstantTimeCompare(sum[:], k[i][:])
	}
	if found == 0 {
		return "", errkind.New(errkind.Unauthenticated, "unknown operator key")
	}
	return "key-" + hex.EncodeToString(sum[:operatorHashBytes]), nil
}
