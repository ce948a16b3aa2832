// Package golden compares the output of tests with files that are kept beside them.
package golden
