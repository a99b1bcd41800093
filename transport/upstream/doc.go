// Package upstream sends requests to back ends over reused HTTP/1.1 connections. It
// owns these connections, their timeouts and the probes of back ends that went silent,
// and says of each failure whether the back end may have run the request. It relies on
// transport/socket for the options of TCP.
//
// A request is never sent twice by itself, which is why the package isn't built on
// http.Transport: that one repeats requests on connections that broke.
package upstream
