package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/spf13/cobra"
)

// maxPorts bounds the listeners that are open at once.
const maxPorts = 1000

// The searched ports lie below the range from which the kernel takes the ports of outgoing
// connections: a port of that range can be taken between its print and its use.
const (
	firstPort = 15000
	lastPort  = 32000
)

func portsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "ports N",
		Short: "Print N free loopback ports, one a line",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil || n < 1 || n > maxPorts {
				return fmt.Errorf("number of ports %q is not within 1 to %d", args[0], maxPorts)
			}
			ports, err := freePorts(n)
			if err != nil {
				return err
			}
			for _, port := range ports {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), port); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// freePorts keeps all listeners open until the last one is found, so that no port comes
// twice. It starts at a random port, so that two runs at the same time rarely compete.
func freePorts(n int) ([]int, error) {
	var ports []int
	for i, start := 0, rand.IntN(lastPort-firstPort); len(ports) < n; i++ {
		if i >= lastPort-firstPort {
			return nil, fmt.Errorf("only %d of %d ports are free", len(ports), n)
		}
		port := firstPort + (start+i)%(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, port)
	}
	return ports, nil
}
