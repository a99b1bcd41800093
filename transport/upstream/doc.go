// Package upstream sends single requests to back ends over kept HTTP/1.1
// connections and says of each failure whether the back end may have run the
// request. It never sends a request twice by itself, which is why it isn't
// built on http.Transport: that one repeats requests on connections that broke.
package upstream
