// Command vbstand is stand-ins for workers, backend servers and callers, for demonstrations and tests.
package main

var version = "unknown"

func main() {
	println(version)
}
