package proto

import "vanillabridge/core/model"

// ServerState is the announced state of a backend server.
type ServerState string

// The announced states.
const (
	// ServerServing means that the server accepts new requests.
	ServerServing ServerState = "serving"
	// ServerLeaving means that the server accepts no new requests and is about to stop.
	ServerLeaving ServerState = "leaving"
)

// ServerAnnouncement is the body of POST /v1/servers/announce.
type ServerAnnouncement struct {
	Name           model.ServerID    `json:"name"`
	Incarnation    model.Incarnation `json:"incarnation"`
	Service        string            `json:"service"`
	Address        string            `json:"address"` // IP address and port
	Zone           model.Zone        `json:"zone"`
	Slots          int               `json:"slots"`
	MaxConns       int               `json:"conns"`
	State          ServerState       `json:"state"`
	Seq            uint64            `json:"seq"`              // increases with each announcement of an incarnation
	ActiveRequests *int              `json:"active,omitempty"` // requests in progress, if the server counts them
}
