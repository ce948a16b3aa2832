// Package once holds the rules for requests that must run at most once: the owner zone of a
// key, the life cycle of a record, and the steps of one request on an entry instance. It is
// pure: records live in the log of the owner zone, time is passed in.
package once
