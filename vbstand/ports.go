package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/spf13/cobra"
)

// maxPorts bounds the number of ports of one call, since a listener is open for each of them.
const maxPorts = 1000

// The search range lies below the kernel's range of ephemeral ports. An ephemeral port could be taken
// by an outgoing connection after it was printed and before it is used.
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
				return fmt.Errorf("number of ports %q is not a number from 1 to %d", args[0], maxPorts)
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

// freePorts returns n free ports. It keeps all listeners open until the last port is found, so that
// no port is returned twice, and starts at a random port, so that concurrent runs rarely collide.
func freePorts(n int) ([]int, error) {
	var ports []int
	for i, start := 0, rand.IntN(lastPort-firstPort); len(ports) < n; i++ {
		if i >= lastPort-firstPort {
			return nil, fmt.Errorf("find free ports: only %d of %d found", len(ports), n)
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
