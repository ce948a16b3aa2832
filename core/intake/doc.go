// Package intake decides which connections of clients an instance keeps open, and how much memory their unfinished
// requests may take. It answers clients that open many connections, or send large requests, and don't finish them.
//
// A client that sends a small request at once is served beside any number of those: bytes up to FreeBytes of a
// request are not counted, and connections that have waited for their clients for long make room for new ones.
package intake
