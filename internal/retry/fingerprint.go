package retry

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// separator separates the parts of a fingerprint, so that "a"+"bc" and "ab"+"c"
// differ. Methods, paths and queries contain no zero byte.
var separator = []byte{0}

// Fingerprint returns a hash that identifies equal requests: it covers the method,
// path, query and the first bytes of the body. Requests whose bodies differ only
// after that prefix share a fingerprint.
func Fingerprint(method, path, query string, bodyPrefix []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, path, query} {
		digest.WriteString(part)
		digest.Write(separator)
	}
	digest.Write(bodyPrefix)
	return digest.Sum64()
}

// FormatFingerprint returns a fingerprint as log lines show it.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
