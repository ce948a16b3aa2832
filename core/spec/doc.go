// Package spec defines the configuration of a cell: teams, services, batches, gangs,
// routes and callers. A cell is a set of availability zones that share one configuration.
//
// Operators build a Document with its With methods and print it as INI text. The daemon
// parses and validates the text. The result is either a Cell with all defaults filled in, or
// a list of Problems, each of which names a section, a key and a limit.
package spec
