package dial

import "net/http"

// NoRedirects is the CheckRedirect function of clients that call one address: the answer that
// redirects is returned as it is. Following it would send a request that nobody asked for, to
// whatever address the other side names.
func NoRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
