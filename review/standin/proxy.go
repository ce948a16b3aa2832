package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkDelay is the time on the way between the cores and an executor of another region, in one direction.
const linkDelay = 30 * time.Millisecond

// proxy is the network in front of an executor: its address is the one that the executor announces.
type proxy struct {
	address, target string

	mu     sync.Mutex
	silent bool
	conns  map[*net.TCPConn]bool // from the project's processes
	resume chan struct{}         // closed when the silence ends
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, target: target, conns: map[*net.TCPConn]bool{}, resume: make(chan struct{})}
	close(p.resume)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

// goSilent lets nothing through, in neither direction, as when the machine behind has no power.
func (p *proxy) goSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent, p.resume = true, make(chan struct{})
}

// comeBack resets the connections from before and during the silence, which the machine no longer knows.
func (p *proxy) comeBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.conns
	p.conns = map[*net.TCPConn]bool{}
	p.silent = false
	close(p.resume)
	time.AfterFunc(linkDelay, func() {
		for c := range old {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

// isKnown reports whether a connection still exists, and waits until there is no silence.
func (p *proxy) isKnown(c *net.TCPConn) bool {
	for {
		p.mu.Lock()
		silent, resume, known := p.silent, p.resume, p.conns[c]
		p.mu.Unlock()
		if !silent {
			return known
		}
		<-resume
	}
}

func (p *proxy) serve(c *net.TCPConn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	drop := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
	defer drop()
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent {
		return // comeBack closes it
	}
	defer c.Close()
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	out := conn.(*net.TCPConn)
	defer out.Close()
	done := make(chan struct{}, 2)
	go p.carry(out, c, c, done)
	go p.carry(c, out, c, done)
	<-done
	if p.isKnown(c) {
		<-done
	}
}

// carry copies bytes in one direction, each linkDelay later.
func (p *proxy) carry(to, from, known *net.TCPConn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	type chunk struct {
		due  time.Time
		data []byte
		end  bool // the sender has closed the connection
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			chunks <- chunk{time.Now().Add(linkDelay), buffer[:n], err == io.EOF}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !p.isKnown(known) {
			break
		}
		if len(c.data) > 0 {
			if _, err := to.Write(c.data); err != nil {
				break
			}
		}
		if c.end {
			_ = to.CloseWrite()
		}
	}
	_ = from.CloseRead()
	for range chunks { // the reader ends with the connection
	}
}
