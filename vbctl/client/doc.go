// Package client calls the HTTP interface of the entry instances for operators. It tries the
// instances in order, and its errors state whether a request did not run or may have run.
package client
