package main

import (
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// linkDelay is the delay one way between a client and an instance, "8 ms to clients".
	linkDelay = 8 * time.Millisecond
	// linkWindow is how many bytes of an answer are under way at a time: what a connection
	// of TCP begins with (RFC 6928), as it is at the first answers on a connection.
	linkWindow = 14600
	// receiveBuffer bounds what the link takes from an instance ahead of the window.
	receiveBuffer = 8 << 10
)

// startLink forwards connections to an address over a link with a delay and a window. It
// passes on an end as an end and a reset as a reset.
func startLink(to string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(linkDelay)
				instance, err := dialer.Dial("tcp", to)
				if err != nil {
					_ = client.(*net.TCPConn).SetLinger(0)
					_ = client.Close()
					return
				}
				go forward(instance, client, 64<<10, 0)
				forward(client, instance, linkWindow, 2*linkDelay)
			}()
		}
	}()
	return l.Addr().String(), nil
}

// piece is what has been read, and when it arrives.
type piece struct {
	bytes []byte
	err   error
	at    time.Time
}

// forward copies from one connection to another with the delay: at most window bytes in
// each round trip, if that is not 0.
func forward(to, from net.Conn, window int, roundTrip time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		left, since := window, time.Now()
		for {
			if roundTrip > 0 && left == 0 {
				time.Sleep(time.Until(since.Add(roundTrip)))
			}
			if roundTrip > 0 && time.Since(since) >= roundTrip || roundTrip == 0 {
				left, since = window, time.Now()
			}
			buf := make([]byte, left)
			n, err := from.Read(buf)
			left -= n
			pieces <- piece{buf[:n], err, time.Now().Add(linkDelay)}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if broken {
			continue
		}
		if _, err := to.Write(p.bytes); err != nil {
			// What is under way in the other direction still arrives: that direction
			// ends the connection when it has read the reset itself.
			broken = true
			if roundTrip > 0 {
				_ = from.Close() // the client has left
			}
			continue
		}
		switch {
		case p.err == nil:
		case p.err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
		default:
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
		}
	}
}
