package config

// MaxNameBytes is the maximum length of a name, in bytes.
const MaxNameBytes = 64

// Wildcard matches all names in the fields that allow it.
const Wildcard = "*"

// ValidName reports whether s is a valid name of a record.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes || !isAlphanumeric(s[0]) {
		return false
	}
	for i := range len(s) {
		if !isAlphanumeric(s[i]) && s[i] != '.' && s[i] != '_' && s[i] != '-' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}
