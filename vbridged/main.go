// Command vbridged is the daemon that runs on every entry instance.
package main

var version = "unknown"

func main() {
	println(version)
}
