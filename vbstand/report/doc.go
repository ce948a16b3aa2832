// Package report checks a folder of journals and prints the result for each guarantee, followed by
// request latency and goodput, task waiting times, packing, and the control cost of the instances.
package report
