package observe

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"github.com/valyala/fasthttp/pprofhandler"
	"golang.org/x/sync/errgroup"
)

const (
	opsReadTimeout     = 10 * time.Second
	opsShutdownTimeout = 200 * time.Millisecond // then open calls are given up; health probes take less
)

// OpsHandler serves a path of its own beside those of ServeOps.
type OpsHandler struct {
	Path    string
	Handler http.Handler
}

// ServeOps serves /healthz, /readyz, /metrics, /debug/pprof/ and the paths of the given
// handlers until ctx ends. ready returns nil if the process accepts new work, else the
// reason why not.
func (t *Telemetry) ServeOps(ctx context.Context, listener net.Listener, ready func() error, handlers ...OpsHandler) error {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(t.Registry, promhttp.HandlerOpts{}))
	others := map[string]fasthttp.RequestHandler{}
	for _, h := range handlers {
		others[h.Path] = fasthttpadaptor.NewFastHTTPHandler(h.Handler)
	}
	server := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			path := string(c.Path())
			if strings.HasPrefix(path, "/debug/pprof/") {
				pprofhandler.PprofHandler(c)
				return
			}
			switch path {
			case "/healthz":
				c.SetBodyString("ok\n")
			case "/readyz":
				serveReady(c, ready())
			case "/metrics":
				metrics(c)
			default:
				serveOther(c, others[path])
			}
		},
		ReadTimeout:     opsReadTimeout,
		CloseOnShutdown: true,
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), opsShutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(stop)
		return nil
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("serve health and metrics: %w", err)
	}
	return nil
}

func serveOther(c *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	if handler == nil {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	handler(c)
}

func serveReady(c *fasthttp.RequestCtx, reason error) {
	if reason != nil {
		c.SetStatusCode(http.StatusServiceUnavailable)
		c.SetBodyString(reason.Error() + "\n")
		return
	}
	c.SetBodyString("ready\n")
}
