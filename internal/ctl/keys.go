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

// A key consists of keyPrefix and keyBytes random bytes in base64.
const (
	keyPrefix = "gwb_"
	keyBytes  = 32
)

// callerKeyFlags are the flags that determine a caller's key. Only the hash of the key is
// sent to the servers.
type callerKeyFlags struct {
	file   string
	rotate bool
}

func newCallerKeyFlags(clause *kingpin.CmdClause, create bool) *callerKeyFlags {
	k := &callerKeyFlags{}
	clause.Flag("caller-key-file", "File of the caller's key; if it does not exist, it is created with a new key. Default: a new key, which is printed.").
		StringVar(&k.file)
	if !create {
		clause.Flag("new-key", "Give the caller a new key, which is printed.").BoolVar(&k.rotate)
	}
	return k
}

// resolve returns the caller's new key, or "" if the caller keeps the key in oldSpec. It
// creates the key file if that does not exist.
func (k *callerKeyFlags) resolve(c *command, oldSpec json.RawMessage) (string, error) {
	if k.file == "" {
		if len(oldSpec) > 0 && !k.rotate {
			return "", nil
		}
		return newKey(c.Random)
	}
	data, err := os.ReadFile(k.file)
	if err == nil {
		return parseKey(string(data))
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

// addHash adds the hash of key, unless key is empty, to the spec of a caller.
func (k *callerKeyFlags) addHash(s *specFlags, key string) {
	isSet := key != ""
	addField(s, "key_hash", &isSet, func() (string, error) { return hashKey(key), nil })
}

func newKey(random io.Reader) (string, error) {
	secret := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, secret); err != nil {
		return "", fmt.Errorf("generate a key: %w", err)
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(secret), nil
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// parseKey returns the key in the text of a key file.
func parseKey(text string) (string, error) {
	key := strings.TrimSpace(text)
	if key == "" || strings.ContainsAny(key, " \t\r\n") {
		return "", usageError("the key file does not contain a valid key")
	}
	return key, nil
}

// keyHashOutput is the JSON form of the output of "key hash".
type keyHashOutput struct {
	Hash string `json:"hash"`
}

// newKeyOutput is the JSON form of the output of "key create".
type newKeyOutput struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (c *command) addKeyCommands(app *kingpin.Application) {
	group := app.Command("key", "Keys of operators and callers.")
	hash := group.Command("hash", "Print the hash of a key, for operator_key_hashes of the settings.")
	file := hash.Arg("file", `File that contains the key; "-" means standard input.`).Default("-").String()
	c.setAction(hash, func() error {
		data, err := c.readFile(*file)
		if err != nil {
			return err
		}
		key, err := parseKey(string(data))
		if err != nil {
			return err
		}
		return c.printValue(keyHashOutput{hashKey(key)}, hashKey(key))
	})
	create := group.Command("create", "Print a new key.")
	c.setAction(create, func() error {
		key, err := newKey(c.Random)
		if err != nil {
			return err
		}
		return c.printValue(newKeyOutput{Key: key, Hash: hashKey(key)}, key)
	})
}

// callerKeyHash returns the key hash in the spec of a caller.
func callerKeyHash(record config.Record) string {
	var spec config.CallerSpec
	_ = json.Unmarshal(record.Spec, &spec)
	return spec.KeyHash
}
