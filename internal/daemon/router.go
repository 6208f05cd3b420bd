package daemon

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"kumquatcleat/internal/logging"
)

// catchAll is the one route that callers' requests take: go-zero's own router
// knows no wildcard path, cleans paths and refuses unusual methods.
const catchAll = "/"

// wildcardRouter sends every request to the one handler that it was given.
// It implements httpx.Router.
type wildcardRouter struct {
	handler http.Handler
}

var _ httpx.Router = (*wildcardRouter)(nil)

// Handle implements httpx.Router.
func (r *wildcardRouter) Handle(_, _ string, handler http.Handler) error {
	r.handler = handler
	return nil
}

// SetNotFoundHandler implements httpx.Router. Every path is found.
func (r *wildcardRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. Every method is allowed.
func (r *wildcardRouter) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP implements http.Handler.
func (r *wildcardRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.handler.ServeHTTP(w, req)
}

// newRestHandler puts a handler behind go-zero's rest. Its middlewares stay off:
// several answer 503 on their own while the handler may still run, which would
// make the outcome that a caller reads untrue. The listener is the daemon's own,
// since the library's stops at fixed times.
func newRestHandler(name string, handler http.Handler) (http.Handler, error) {
	conf := rest.RestConf{}
	conf.Name = name
	conf.Log.Mode = "console"
	conf.Log.Level = "error"
	server, err := rest.NewServer(conf, rest.WithRouter(&wildcardRouter{}))
	logging.CaptureLibrary()
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
