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

// Fingerprints identify a request at two levels. A request that crashes servers may come
// again with another query; and one query may crash servers at a path that runs well with others.
type Fingerprints struct {
	Request uint64 // covers the query
	Path    uint64 // equal for requests that differ only in their query
}

// levels returns the distinct fingerprints.
func (f Fingerprints) levels() []uint64 {
	if f.Request == f.Path {
		return []uint64{f.Request}
	}
	return []uint64{f.Request, f.Path}
}

// FormatFingerprint returns a fingerprint as log lines show it.
func FormatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
