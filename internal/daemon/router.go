package daemon

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"kumquatcleat/internal/logging"
)

// catchAll is the single route for callers' requests. go-zero's own router is not used:
// it has no wildcard path, cleans paths and refuses unusual methods.
const catchAll = "/"

// wildcardRouter sends every request to the handler registered last. It implements
// httpx.Router.
type wildcardRouter struct {
	handler http.Handler
}

var _ httpx.Router = (*wildcardRouter)(nil)

// Handle implements httpx.Router.
func (r *wildcardRouter) Handle(_, _ string, handler http.Handler) error {
	r.handler = handler
	return nil
}

// SetNotFoundHandler implements httpx.Router. It does nothing: every path matches.
func (r *wildcardRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It does nothing: every method is allowed.
func (r *wildcardRouter) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP implements http.Handler.
func (r *wildcardRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

// newRestHandler wraps a handler with go-zero's rest server. The middlewares of go-zero
// stay off: several answer 503 on their own while the handler may still run, so the
// caller would get a wrong outcome. The daemon uses its own listener, because the one of
// the library shuts down after fixed times.
func newRestHandler(name string, handler http.Handler) (http.Handler, error) {
	conf := rest.RestConf{}
	conf.Name = name
	conf.Log.Mode = "console"
	conf.Log.Level = "error"
	server, err := rest.NewServer(conf, rest.WithRouter(&wildcardRouter{}))
	logging.RedirectGoZero()
	if err != nil {
		return nil, err
	}
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: catchAll, Handler: handler.ServeHTTP})
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}
