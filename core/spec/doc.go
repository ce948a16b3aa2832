// Package spec describes the configuration of a cell: teams, services, batches, gangs,
// routes and callers.
//
// Operators build a Document with its With methods and print it as INI text. The daemon
// parses the text and checks it, which gives a Cell with all defaults filled in, or a
// list of Problems that each name a section, a key and a limit.
package spec
