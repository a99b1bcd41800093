package runner

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answerEarly answers and then reads on, keeping the connection.
func (r *Runner) answerEarly(w http.ResponseWriter, request *http.Request) {
	controller := http.NewResponseController(w)
	if err := controller.EnableFullDuplex(); err != nil {
		panic(err)
	}
	w.Header().Set(HeaderSeal, r.Instance)
	w.Header().Set("Content-Length", "2")
	_, _ = w.Write([]byte("ok"))
	_ = controller.Flush()
	body, err := io.ReadAll(request.Body)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err == nil {
		r.early = append(r.early, string(body))
	}
}

func (r *Runner) head(request *http.Request) string {
	return fmt.Sprintf("%s: %s\r\n%s: %s\r\n", HeaderID, request.Header.Get(HeaderID), HeaderSeal, r.Instance)
}

func (r *Runner) answer(w http.ResponseWriter, request *http.Request, fault Fault) {
	switch fault {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case Garbage:
		r.answerRaw(w, "these bytes are no answer\r\n\r\n")
		return
	case Hang:
		<-request.Context().Done()
		r.mutex.Lock()
		r.left++
		r.mutex.Unlock()
		return
	case FalsePromise:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case ForeignFirst:
		foreign := "HTTP/1.1 200 OK\r\n" + HeaderID + ": another\r\n" + HeaderSeal + ": x\r\nContent-Length: 5\r\n\r\nwrong"
		r.answerRaw(w, foreign+"HTTP/1.1 200 OK\r\n"+r.head(request)+"Content-Length: 2\r\n\r\nok")
		return
	case Surplus:
		own := "HTTP/1.1 200 OK\r\n" + r.head(request) + "Content-Length: 2\r\n\r\nok"
		r.answerRaw(w, own+own)
		return
	case Unframed:
		r.answerRaw(w, "HTTP/1.1 200 OK\r\n"+r.head(request)+"\r\nok")
		return
	}
	if isEndless(fault) {
		r.answerWithoutEnd(w, request, fault)
		return
	}
	if fault != NoSeal {
		w.Header().Set(HeaderSeal, r.Instance)
	}
	if r.Events > 0 {
		r.stream(w, request, fault)
		return
	}
	time.Sleep(r.currentPause())
	r.plain(w, fault)
}

func (r *Runner) currentPause() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pause
}

func (r *Runner) plain(w http.ResponseWriter, fault Fault) {
	if fault == CutAnswer {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("ok"))
}

// stream sends events from the one after Last-Event-Id on.
func (r *Runner) stream(w http.ResponseWriter, request *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	pause, mark := r.currentPause(), r.markOf(request)
	first := 1
	if last, err := strconv.Atoi(request.Header.Get(HeaderLastEvent)); err == nil {
		first = last + 1
	}
	for number := first; number <= r.Events; number++ {
		text := fmt.Sprintf("id: %d\ndata: piece %d%s\n\n", number, number, mark)
		if fault == CutAnswer && number == first+r.Events/2 {
			_, _ = w.Write([]byte(text[:len(text)/2]))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(pause)
		_, _ = w.Write([]byte(text))
		_ = http.NewResponseController(w).Flush()
	}
}

// answerRaw writes bytes past the server and closes the connection a moment
// after, so that a client may use it once more before.
func (r *Runner) answerRaw(w http.ResponseWriter, raw string) {
	const lingering = 20 * time.Millisecond
	connection, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	writer := bufio.NewWriter(connection)
	_, _ = writer.WriteString(raw)
	_ = writer.Flush()
	_ = buffered
	if strings.Contains(raw, "Content-Length") {
		time.Sleep(lingering)
	}
	_ = connection.Close()
}
