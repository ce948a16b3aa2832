package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits of request bodies in bytes.
const (
	maxDocument = 8 << 20
	maxSync     = 16 << 20
	maxSmall    = 64 << 10
)

// Options configure the router.
type Options struct {
	Service  Service
	Entry    http.Handler // callers' requests
	Announce http.Handler // announcements of backend servers
	Metrics  prometheus.Gatherer
}

// New returns the handler of all paths.
func New(o Options) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = respondError
	e.Use(bounded)
	h := handlers{service: o.Service}
	e.POST("/v1/config", h.submit)
	e.GET("/v1/config", h.config)
	e.POST("/v1/jobs", h.run)
	e.GET("/v1/jobs/*", h.job)
	e.DELETE("/v1/jobs/*", h.cancel)
	e.GET("/v1/status", h.status)
	e.GET("/v1/events", h.events)
	e.POST("/v1/drain", h.drain)
	e.POST("/v1/workers/sync", h.sync)
	e.POST("/v1/servers/announce", echo.WrapHandler(o.Announce))
	e.GET("/healthz", h.health)
	e.GET("/readyz", h.ready)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(o.Metrics, promhttp.HandlerOpts{})))
	return route{entry: o.Entry, rest: e}
}

// requestTimeout bounds a request that waits for a group without a majority. It is longer than
// an election, and shorter than clients usually wait.
const requestTimeout = 10 * time.Second

// bounded gives each request a deadline.
func bounded(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

// route hands callers' requests to their handler directly: echo would buffer nothing either,
// but its router would reject methods and paths that a backend server may accept.
type route struct {
	entry http.Handler
	rest  http.Handler
}

const entryPrefix = "/s/"

// ServeHTTP selects the handler.
func (m route) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(r.URL.Path) >= len(entryPrefix) && r.URL.Path[:len(entryPrefix)] == entryPrefix {
		m.entry.ServeHTTP(w, r)
		return
	}
	m.rest.ServeHTTP(w, r)
}
