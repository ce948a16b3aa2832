// Package record holds the journals of the stand-ins: what really ran, and what callers and
// operators were told. A journal is a file of JSON lines.
package record
