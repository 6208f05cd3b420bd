package routing

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"kumquatcleat/internal/config"
	"kumquatcleat/internal/fault"
)

func swapService() *config.Service {
	return &config.Service{
		Name: "swapbay", SlotCount: 64, Domains: []string{"a"},
		Rules: []config.Rule{
			{Methods: []string{"POST"}, PathPrefix: "/search", Idempotent: true, Class: config.ClassDeferred},
			{PathPrefix: "/listings", KeyPrefix: "/listings/", KeyPrefixAliases: []string{"/l/"}},
		},
	}
}

func parse(t *testing.T, service *config.Service, method, target string, header ...string) (*call, *fault.Error) {
	t.Helper()
	r := httptest.NewRequest(method, "http://router"+target, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return parseCall(r, oneService{service})
}

func TestEquivalentPathsGiveSameKey(t *testing.T) {
	for _, target := range []string{"/swapbay/listings/7", "/swapbay/listings/%37", "/swapbay/listings/7/photos"} {
		c, err := parse(t, swapService(), http.MethodGet, target)
		if err != nil || c.key != "7" {
			t.Errorf("%s: got key %q, error %v, want key 7", target, c.key, err)
		}
	}
}

func TestKeyRuleDoesNotMakePostIdempotent(t *testing.T) {
	c, err := parse(t, swapService(), http.MethodPost, "/swapbay/listings/7")
	if err != nil || c.idempotent {
		t.Fatalf("listings: got idempotent %v, error %v, want false", c.idempotent, err)
	}
	c, err = parse(t, swapService(), http.MethodPost, "/swapbay/search")
	if err != nil || !c.idempotent || c.class != config.ClassDeferred {
		t.Fatalf("search: got idempotent %v, class %q, error %v, want true, deferred", c.idempotent, c.class, err)
	}
}

func TestMalformedCallsReportTheirKind(t *testing.T) {
	divided := swapService()
	divided.DividedByKey = true
	cases := []struct {
		name, target string
		header       []string
		want         fault.Kind
	}{
		{"no service", "/", nil, fault.BadRequest},
		{"unknown service", "/nosuch/x", nil, fault.UnknownService},
		{"dot segment", "/swapbay/listings/../x", nil, fault.BadRequest},
		{"escaped dot segment", "/swapbay/listings/%2e%2e/x", nil, fault.BadRequest},
		{"key twice", "/swapbay/x", []string{HeaderKey, "a", HeaderKey, "b"}, fault.BadRequest},
		{"no key", "/swapbay/x", nil, fault.KeyRequired},
		{"timeout is not a number", "/swapbay/listings/7", []string{HeaderTimeout, "2s"}, fault.BadRequest},
		{"timeout zero", "/swapbay/listings/7", []string{HeaderTimeout, "0"}, fault.BadRequest},
		{"timeout over the limit", "/swapbay/listings/7", []string{HeaderTimeout, "999999999"}, fault.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := parse(t, divided, http.MethodGet, c.target, c.header...)
			if err == nil || err.Kind != c.want {
				t.Fatalf("got %v, want kind %s", err, c.want)
			}
		})
	}
}

// unknownServices is the state of a VM that has not read its configuration yet.
type unknownServices struct{}

func (unknownServices) Service(string) (*config.Service, bool) { return nil, false }
func (unknownServices) Known() bool                            { return false }

func TestNoUnknownServiceBeforeConfigurationIsKnown(t *testing.T) {
	_, err := parseCall(httptest.NewRequest(http.MethodGet, "http://router/swapbay/x", nil), unknownServices{})
	if err == nil || err.Kind != fault.Starting {
		t.Fatalf("got %v, want kind %s", err, fault.Starting)
	}
}

func FuzzParseCall(f *testing.F) {
	f.Add("/swapbay/listings/7", "k", "100")
	f.Add("/swapbay/listings/%2e%2e/7", "", "-1")
	f.Add("//", "\x00", "1e3")
	service := swapService()
	f.Fuzz(func(t *testing.T, path, key, timeout string) {
		r := httptest.NewRequest(http.MethodGet, "http://router/", nil)
		r.URL.Path = path
		r.Header[HeaderKey] = []string{key}
		r.Header[HeaderTimeout] = []string{timeout}
		c, err := parseCall(r, oneService{service})
		if err != nil {
			return
		}
		if c.timeout <= 0 || c.timeout > maxTimeout(service) {
			t.Fatalf("got timeout %v, want a positive one within the limit of the service", c.timeout)
		}
		if slot := service.SlotOf(c.key); slot >= service.SlotCount {
			t.Fatalf("got slot %d, want one below the slot count", slot)
		}
		if hasDotSegment(c.path) {
			t.Fatalf("path %q with a dot segment was accepted", c.path)
		}
	})
}
