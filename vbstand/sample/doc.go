// Package sample builds the configuration that the demonstration and the fault tests submit.
package sample
