// Package inlet serves HTTP to clients that need not behave: it keeps the connections of a listener, and the memory that
// unfinished requests take, within limits. Package intake decides; this package owns the connections.
package inlet
