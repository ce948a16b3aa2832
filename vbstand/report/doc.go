// Package report prints the checks of promises and the four measures of a folder of journals.
package report
