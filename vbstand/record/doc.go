// Package record reads and writes the journals of the stand-ins, which record what workers and
// backend servers ran and what callers and operators were told. A journal is a file of JSON lines.
package record
