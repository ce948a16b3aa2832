package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Size limits of request bodies.
const (
	maxConfigBodyBytes = 8 << 20
	maxSyncBodyBytes   = 16 << 20
	maxRunBodyBytes    = 64 << 10
)

// Options holds the service and the handlers that the router serves.
type Options struct {
	Service  Service
	Entry    http.Handler // requests of callers
	Announce http.Handler // announcements of backend servers
	Metrics  prometheus.Gatherer
}

// New returns the handler for all paths of the HTTP interface.
func New(o Options) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = respondError
	e.Use(withRequestTimeout)
	h := handlers{service: o.Service}
	e.POST("/v1/config", h.submitConfig)
	e.GET("/v1/config", h.getConfig)
	e.POST("/v1/jobs", h.startRun)
	e.GET("/v1/jobs/*", h.getJob)
	e.DELETE("/v1/jobs/*", h.cancelJob)
	e.GET("/v1/status", h.getStatus)
	e.GET("/v1/events", h.getEvents)
	e.POST("/v1/drain", h.startDrain)
	e.POST("/v1/workers/sync", h.syncWorker)
	e.POST("/v1/servers/announce", echo.WrapHandler(o.Announce))
	e.GET("/healthz", h.getHealth)
	e.GET("/readyz", h.getReadiness)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(o.Metrics, promhttp.HandlerOpts{})))
	return prefixRouter{entry: o.Entry, api: e}
}

// requestTimeout bounds requests that wait for a group without a quorum. It is longer than an election
// and shorter than usual client timeouts.
const requestTimeout = 10 * time.Second

// withRequestTimeout sets a deadline of requestTimeout on the context of each request.
func withRequestTimeout(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// prefixRouter passes callers' requests directly to their handler, because the echo router would
// reject methods and paths that a backend server may accept.
type prefixRouter struct {
	entry http.Handler
	api   http.Handler
}

const entryPrefix = "/s/"

// ServeHTTP selects the handler by the path prefix.
func (p prefixRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) >= len(entryPrefix) && r.URL.Path[:len(entryPrefix)] == entryPrefix {
		p.entry.ServeHTTP(w, r)
		return
	}
	p.api.ServeHTTP(w, r)
}
