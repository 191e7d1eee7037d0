package controlbench

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// addedClient sends requests on one connection, and on a new one where that has ended.
type addedClient struct {
	dial     dialer
	id       uint64 // of the last request
	straight bool   // to a server, which requests must name

	conn net.Conn // nil: none
	in   *bufio.Reader
}

// close closes the connection, if there is one.
func (c *addedClient) close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing on it is of use any more
		c.conn = nil
	}
}

// connect opens a connection unless there is one.
func (c *addedClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := c.dial()
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

// send sends one request and reads its response. After an error the connection is closed.
func (c *addedClient) send() (status int, err error) {
	if err := c.connect(); err != nil {
		return 0, err
	}
	c.id++
	status, err = c.roundTrip()
	if err != nil {
		c.close()
	}
	return status, err
}

func (c *addedClient) roundTrip() (status int, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(addedTimeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c.conn, c.requestText()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	err = errors.Join(err, resp.Body.Close())
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, err
}

// requestText is a request as it is written.
func (c *addedClient) requestText() string {
	target := ""
	if c.straight {
		target = "Target-Member: " + instantServerID(0) + "\r\n"
	}
	return fmt.Sprintf("GET /x/%x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nTime-Budget-Ms: %d\r\n"+
		"Authorization: Token %s\r\n%sContent-Length: 0\r\n\r\n",
		c.id, addedHost, c.id, addedTimeout.Milliseconds(), addedKey, target)
}
