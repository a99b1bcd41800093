package runner

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessTime bounds how long a fault without end goes on.
	endlessTime = 20 * time.Second
	// slowPause is the time between two bytes of what is sent slowly.
	slowPause = 50 * time.Millisecond
	// endlessPieceBytes is the least size of the pieces of other faults.
	endlessPieceBytes = 64 << 10
	// endlessEventBytes is the size of the data of one event of EndlessEvents.
	endlessEventBytes = 1 << 10
)

func isEndless(fault Fault) bool { return fault >= EndlessBytes && fault <= SlowComment }

// answerWithoutEnd sends the fault's bytes past the server until the client closes the
// connection.
func (r *Runner) answerWithoutEnd(w http.ResponseWriter, request *http.Request, fault Fault) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(endlessTime))
	start, piece, pause := endlessPieces(fault, r.head(request))
	sent, err := connection.Write([]byte(start))
	for total := int64(sent); err == nil; total += int64(sent) {
		r.recordSent(total)
		time.Sleep(pause)
		sent, err = connection.Write([]byte(piece))
	}
}

// endlessPieces returns what is sent first, what is sent again and again, and the pause
// before each.
func endlessPieces(fault Fault, head string) (start, piece string, pause time.Duration) {
	stream := "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	fill := func(unit string) string { return strings.Repeat(unit, endlessPieceBytes/len(unit)+1) }
	switch fault {
	case EndlessBytes:
		return "", fill("x"), 0
	case EndlessHeaderLine:
		return "HTTP/1.1 200 OK\r\nX-Long: ", fill("x"), 0
	case EndlessHeaders:
		return "HTTP/1.1 200 OK\r\n", fill("X-Filler: more\r\n"), 0
	case EndlessInterims:
		return "", fill("HTTP/1.1 100 Continue\r\n\r\n"), 0
	case EndlessComments:
		return stream, fill(": alive\n\n"), 0
	case EndlessEvents:
		return stream, fill("data: " + strings.Repeat("x", endlessEventBytes) + "\n\n"), 0
	case EndlessChunks:
		return "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", endlessPieceBytes, strings.Repeat("x", endlessPieceBytes)), 0
	case EndlessBody:
		return "HTTP/1.1 200 OK\r\n" + head + "Connection: close\r\n\r\n", fill("x"), 0
	case SlowEvent:
		return stream + "data: ", "x", slowPause
	case SlowComment:
		return stream + ": ", "x", slowPause
	default:
		return "HTTP/1.1 200 OK\r\nX-Slow: ", "x", slowPause
	}
}

func (r *Runner) recordSent(bytes int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mostSent = max(r.mostSent, bytes)
}

// MostSent returns the most bytes that one connection took of a fault without end.
func (r *Runner) MostSent() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mostSent
}
