// Package retry decides whether and when a failed attempt of a request is repeated. It is
// deterministic: it reads no clock and its random source is seeded.
package retry
