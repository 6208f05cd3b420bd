package retry

import "github.com/cespare/xxhash/v2"

// separator stands between the parts of a fingerprint, so that "a"+"bc" and
// "ab"+"c" differ. No method, path or query holds a zero byte.
var separator = []byte{0}

// Fingerprint names the requests that do the same: method, path, query and the
// first bytes of the body. Two bodies that differ later share a fingerprint.
func Fingerprint(method, path, query string, bodyPrefix []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, path, query} {
		digest.WriteString(part)
		digest.Write(separator)
	}
	digest.Write(bodyPrefix)
	return digest.Sum64()
}
