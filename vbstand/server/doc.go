// Package server is a stand-in for a backend server: it announces itself, answers requests
// after a service time, misbehaves on demand and records every true run.
package server
