package relay

import "strings"

// isBlank tells that a line has nothing but its end.
func isBlank(line []byte) bool {
	return string(line) == "\n" || string(line) == "\r\n"
}

// eventID returns the value of an id field (WHATWG HTML, section 9.2.6).
func eventID(line []byte) (id string, found bool) {
	value, found := strings.CutPrefix(string(line), "id:")
	if !found {
		return "", false
	}
	return strings.TrimSpace(value), true
}
