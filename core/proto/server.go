package proto

import "vanillabridge/core/model"

// ServerState is the state that a backend server announces.
type ServerState string

// The announced states.
const (
	// ServerServing says that the server takes new requests.
	ServerServing ServerState = "serving"
	// ServerLeaving says that the server takes no new requests and will end.
	ServerLeaving ServerState = "leaving"
)

// Announce is the body of POST /v1/servers/announce.
type Announce struct {
	Name        model.ServerID    `json:"name"`
	Incarnation model.Incarnation `json:"incarnation"`
	Service     string            `json:"service"`
	Address     string            `json:"address"` // IP number and port
	Zone        model.Zone        `json:"zone"`
	Slots       int               `json:"slots"`
	Conns       int               `json:"conns"`
	State       ServerState       `json:"state"`
	Seq         uint64            `json:"seq"`              // grows with each announcement of an incarnation
	Active      *int              `json:"active,omitempty"` // requests in progress, if the server counts them
}
