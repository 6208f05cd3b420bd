package routing

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

const (
	maxKeyBytes            = 1024
	maxIdempotencyKeyBytes = 256
)

// call is a caller's request after parsing.
type call struct {
	requestID      string
	service        *config.Service
	path           string // without the service name; begins with a slash
	key            string // empty: no key
	idempotencyKey string
	idempotent     bool
	class          config.Class
	deferOK        bool
	timeout        time.Duration
}

// splitPath splits /service/rest into its two parts.
func splitPath(path string) (service, rest string, ok bool) {
	trimmed, found := strings.CutPrefix(path, "/")
	if !found || trimmed == "" {
		return "", "", false
	}
	service, rest, _ = strings.Cut(trimmed, "/")
	return service, "/" + rest, service != ""
}

// parseCall parses and validates a request's path and headers against the
// configuration of its service. The call it returns is never nil.
func parseCall(r *http.Request, services Services) (*call, *fault.Error) {
	c := &call{requestID: uuid.NewString()}
	if !r.ProtoAtLeast(1, 1) {
		return c, fault.New(fault.BadRequest, "HTTP/1.0 can't mark a cut answer: use HTTP/1.1")
	}
	name, rest, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		return c, fault.New(fault.BadRequest, "path %q names no service: use /SERVICE/PATH", r.URL.Path)
	}
	if hasDotSegment(rest) {
		return c, fault.New(fault.BadRequest, "path %q has a dot segment: send the resolved path", r.URL.Path)
	}
	if !services.Known() {
		return c, fault.New(fault.Starting, "this VM does not know the configuration in force yet: send the request again")
	}
	service, ok := services.Service(name)
	if !ok {
		return c, fault.New(fault.UnknownService, "no service %q: ask the operator for the services in force", name)
	}
	c.service = service
	c.path = rest
	rule := matchRule(service, r.Method, rest)
	c.applyRule(rule, r.Method)
	if err := c.readKey(r, rule); err != nil {
		return c, err
	}
	if err := c.readTimeout(r, rule); err != nil {
		return c, err
	}
	return c, c.readIdempotencyKey(r)
}

// matchRule returns the first rule that matches the method and path, or nil.
func matchRule(service *config.Service, method, path string) *config.Rule {
	for i := range service.Rules {
		rule := &service.Rules[i]
		if len(rule.Methods) > 0 && !slices.Contains(rule.Methods, method) {
			continue
		}
		if strings.HasPrefix(path, rule.PathPrefix) {
			return rule
		}
	}
	return nil
}

// applyRule sets the class, idempotence and deferral of the call. By default,
// POST and PATCH are not idempotent and all other methods are.
func (c *call) applyRule(rule *config.Rule, method string) {
	c.class = config.ClassInteractive
	c.idempotent = method != http.MethodPost && method != http.MethodPatch
	if rule == nil {
		return
	}
	if rule.Class != "" {
		c.class = rule.Class
	}
	c.deferOK = rule.DeferOK
	if rule.Idempotent {
		c.idempotent = true
	}
	if rule.NonIdempotent {
		c.idempotent = false
	}
}

func (c *call) readKey(r *http.Request, rule *config.Rule) *fault.Error {
	values := r.Header.Values(HeaderKey)
	if len(values) > 1 {
		return fault.New(fault.BadRequest, "header %s stands %d times: send it once", HeaderKey, len(values))
	}
	if len(values) == 1 {
		c.key = values[0]
	} else {
		key, err := keyFromPath(c.path, rule)
		if err != nil {
			return fault.New(fault.BadRequest, "path %q: %v", c.path, err)
		}
		c.key = key
	}
	if len(c.key) > maxKeyBytes {
		return fault.New(fault.BadRequest, "key has %d bytes, at most %d are allowed", len(c.key), maxKeyBytes)
	}
	if c.key == "" && c.service.DividedByKey {
		return fault.New(fault.KeyRequired, "service %q is divided by key: send header %s or a path that names the key",
			c.service.Name, HeaderKey)
	}
	return nil
}

// keyFromPath returns the path segment after the rule's key prefix or one of its
// aliases. The segment is unescaped, so that every spelling of a key has the same
// owner.
func keyFromPath(path string, rule *config.Rule) (string, error) {
	if rule == nil || rule.KeyPrefix == "" {
		return "", nil
	}
	for _, prefix := range append([]string{rule.KeyPrefix}, rule.KeyPrefixAliases...) {
		if rest, ok := strings.CutPrefix(path, prefix); ok {
			segment, _, _ := strings.Cut(rest, "/")
			return url.PathUnescape(segment)
		}
	}
	return "", nil
}

// hasDotSegment reports whether a path has a "." or ".." segment, escaped or not.
// A server may resolve such a path to a different key than the router does. A
// segment that can't be unescaped counts as a dot segment.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		plain, err := url.PathUnescape(segment)
		if err != nil || plain == "." || plain == ".." {
			return true
		}
	}
	return false
}

func (c *call) readTimeout(r *http.Request, rule *config.Rule) *fault.Error {
	c.timeout = defaultTimeout(c.service)
	if rule != nil && rule.Timeout > 0 {
		c.timeout = rule.Timeout.Duration()
	}
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	limit := maxTimeout(c.service)
	if err != nil || ms < 1 || ms > limit.Milliseconds() {
		return fault.New(fault.BadRequest, "header %s is %q: want 1 to %d milliseconds", HeaderTimeout, text, limit.Milliseconds())
	}
	c.timeout = time.Duration(ms) * time.Millisecond
	return nil
}

func (c *call) readIdempotencyKey(r *http.Request) *fault.Error {
	c.idempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(c.idempotencyKey) > maxIdempotencyKeyBytes {
		return fault.New(fault.BadRequest, "header %s has %d bytes, at most %d are allowed",
			HeaderIdempotencyKey, len(c.idempotencyKey), maxIdempotencyKeyBytes)
	}
	return nil
}

func defaultTimeout(s *config.Service) time.Duration {
	if s.Limits.DefaultTimeout > 0 {
		return s.Limits.DefaultTimeout.Duration()
	}
	return config.DefaultTimeoutMS * time.Millisecond
}

func maxTimeout(s *config.Service) time.Duration {
	if s.Limits.MaxTimeout > 0 {
		return s.Limits.MaxTimeout.Duration()
	}
	return config.DefaultMaxTimeoutMS * time.Millisecond
}

func maxBody(s *config.Service) int64 {
	if s.Limits.MaxBodyBytes > 0 {
		return s.Limits.MaxBodyBytes
	}
	return config.DefaultMaxBodyBytes
}
