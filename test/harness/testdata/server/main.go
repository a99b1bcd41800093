// Command server prints its address, answers HTTP requests and ends with code 3
// on SIGTERM.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	fmt.Printf("level=info address=%s\n", listener.Addr())
	<-terminated
	os.Exit(3)
}
