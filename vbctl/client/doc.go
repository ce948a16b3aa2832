// Package client calls the operators' HTTP interface of the entry instances. It tries the
// instances in turn and keeps apart what did not run and what may have run.
package client
