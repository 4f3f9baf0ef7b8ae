package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// operatorNameBytes is the length of the part of a key's hash that names its operator.
const operatorNameBytes = 4

// keyring holds the hashes of the operators' keys.
type keyring [][sha256.Size]byte

func newKeyring(hashes []string) keyring {
	ring := make(keyring, len(hashes))
	for i, text := range hashes {
		sum, err := hex.DecodeString(text)
		if err != nil || len(sum) != sha256.Size {
			panic("operatorapi: key hash is no SHA-256 in hex")
		}
		copy(ring[i][:], sum)
	}
	return ring
}

// authenticate returns the name of the operator whose bearer key r carries. The
// time taken does not depend on how much of a key is right.
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
		return "", errkind.New(errkind.Unauthenticated, "the operator key is not known")
	}
	return "key-" + hex.EncodeToString(sum[:operatorNameBytes]), nil
}
