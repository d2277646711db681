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

// ServeOps serves /healthz, /readyz, /metrics and /debug/pprof/ until ctx ends.
// ready returns nil if the process accepts new work, else the reason why not.
func (t *Telemetry) ServeOps(ctx context.Context, listener net.Listener, ready func() error) error {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(t.Registry, promhttp.HandlerOpts{}))
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
				c.SetStatusCode(http.StatusNotFound)
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

func serveReady(c *fasthttp.RequestCtx, reason error) {
	if reason != nil {
		c.SetStatusCode(http.StatusServiceUnavailable)
		c.SetBodyString(reason.Error() + "\n")
		return
	}
	c.SetBodyString("ready\n")
}
