// Package golden compares the output of tests with golden files.
package golden
