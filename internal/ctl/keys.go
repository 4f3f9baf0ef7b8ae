package ctl

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/config"
)

// Form of a key: the prefix and this many random bytes.
const (
	keyPrefix = "gwb_"
	keyBytes  = 32
)

// callerKey holds the flags by which a caller gets its key. Only the hash of a key
// leaves the tool.
type callerKey struct {
	file   string
	rotate bool
}

func newCallerKey(clause *kingpin.CmdClause, create bool) *callerKey {
	k := &callerKey{}
	clause.Flag("caller-key-file", "File of the caller's key; a file that does not exist is made. Default: a new key, which is printed.").
		StringVar(&k.file)
	if !create {
		clause.Flag("new-key", "Give the caller a new key, which is printed.").BoolVar(&k.rotate)
	}
	return k
}

// make returns the key that the caller gets, or "" if it keeps the key of old.
func (k *callerKey) make(c *command, old json.RawMessage) (string, error) {
	if k.file == "" {
		if len(old) > 0 && !k.rotate {
			return "", nil
		}
		return newKey(c.Random)
	}
	data, err := os.ReadFile(k.file)
	if err == nil {
		return checkKey(string(data))
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", err
	}
	key, err := newKey(c.Random)
	if err != nil {
		return "", err
	}
	return key, os.WriteFile(k.file, []byte(key+"\n"), 0o600)
}

// hash puts the hash of key into the spec of a caller.
func (k *callerKey) hash(s *specFlags, key string) {
	isSet := key != ""
	set(s, "key_hash", &isSet, func() (string, error) { return hashKey(key), nil })
}

func newKey(random io.Reader) (string, error) {
	secret := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", fmt.Errorf("make a key: %w", err)
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret), nil
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func checkKey(text string) (string, error) {
	key := strings.TrimSpace(text)
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", invalid("the key file holds no key")
	}
	return key, nil
}

// keyHash is the JSON form of the output of "key hash".
type keyHash struct {
	Hash string `json:"hash"`
}

// newKeyOutput is the JSON form of the output of "key create".
type newKeyOutput struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (c *command) addKeys(app *kingpin.Application) {
	group := app.Command("key", "Keys of operators and callers.")
	hash := group.Command("hash", "Print the hash of a key, for operator_key_hashes of the settings.")
	file := hash.Arg("file", `File that holds the key; "-" is the standard input.`).Default("-").String()
	c.does(hash, func() error {
		data, err := c.readFile(*file)
		if err != nil {
			return err
		}
		key, err := checkKey(string(data))
		if err != nil {
			return err
		}
		return c.printValue(keyHash{hashKey(key)}, hashKey(key))
	})
	create := group.Command("create", "Print a new key.")
	c.does(create, func() error {
		key, err := newKey(c.Random)
		if err != nil {
			return err
		}
		return c.printValue(newKeyOutput{Key: key, Hash: hashKey(key)}, key)
	})
}

// keyHashOf returns the hash in the spec of a caller.
func keyHashOf(record config.Record) string {
	var spec config.CallerSpec
	_ = json.Unmarshal(record.Spec, &spec)
	return spec.KeyHash
}
