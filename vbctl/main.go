// Command vbctl is the operators' command line.
package main

var version = "unknown"

func main() {
	println(version)
}
