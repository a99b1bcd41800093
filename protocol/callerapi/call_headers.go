package callerapi

import (
	"encoding/hex"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marblering/marblering/state/result"
)

const (
	// maxKeyBytes is the greatest length of an idempotency key.
	maxKeyBytes = 255
	// maxDeadline is the longest time that a caller may give a call.
	maxDeadline = 7 * 24 * time.Hour
	// madeKeyBytes is the length of the random part of a key made here: 128 bits,
	// so that no two are the same.
	madeKeyBytes  = 16
	madeKeyPrefix = "made-"
)

// callHeaders are the headers of a call, checked.
type callHeaders struct {
	// Key is the idempotency key; empty where the caller gave none.
	Key string
	// Sequence is the number of the call; zero where the caller gave none.
	Sequence   uint64
	Repeatable bool
	// Deadline is zero where the caller gave none.
	Deadline time.Time
}

// parseCallHeaders checks the headers of a call that arrived at the given time.

func parseCallHeaders(header http.Header, now time.Time) (callHeaders, error) {
	key, err := parseKey(header)
	if err != nil {
		return callHeaders{}, err
	}
	sequence, err := headerInteger(header, HeaderSequence, math.MaxInt64)
	if err != nil {
		return callHeaders{}, err
	}
	repeatable, err := parseRepeatable(header)
	if err != nil {
		return callHeaders{}, err
	}
	milliseconds, err := headerInteger(header, HeaderDeadline, uint64(maxDeadline/time.Millisecond))
	if err != nil {
		return callHeaders{}, err
	}
	headers := callHeaders{Key: key, Sequence: sequence, Repeatable: repeatable}
	if milliseconds > 0 {
		headers.Deadline = now.Add(time.Duration(milliseconds) * time.Millisecond)
	}
	if !repeatable && key == "" {
		return callHeaders{}, result.Errorf(result.BadRequest,
			"%s: false needs the header %s: without a key, a repeat of a lost request would be a second one", HeaderRepeatable, HeaderKey)
	}
	return headers, nil
}

// headerValue returns the one value of a header. A header given twice is an error.
func headerValue(header http.Header, name string) (value string, given bool, err error) {
	values := header.Values(name)
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", false, result.Errorf(result.BadRequest, "header %s: given %d times", name, len(values))
	}
}

// parseKey returns the idempotency key that the caller gave.
func parseKey(header http.Header) (string, error) {
	key, given, err := headerValue(header, HeaderKey)
	if err != nil || !given {
		return "", err
	}
	if key == "" || len(key) > maxKeyBytes {
		return "", result.Errorf(result.BadRequest, "header %s: 1 to %d bytes are wanted, found %d", HeaderKey, maxKeyBytes, len(key))
	}
	for _, char := range []byte(key) {
		if char <= ' ' || char > '~' {
			return "", result.Errorf(result.BadRequest, "header %s: only visible ASCII is allowed", HeaderKey)
		}
	}
	return key, nil
}

// makeKey makes an idempotency key for a request that came without one.
func makeKey(random io.Reader) (string, error) {
	var raw [madeKeyBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", merry.Prepend(err, "making an idempotency key")
	}
	return madeKeyPrefix + hex.EncodeToString(raw[:]), nil
}

// headerInteger returns a whole number from 1 on; zero where the header is absent.
func headerInteger(header http.Header, name string, greatest uint64) (uint64, error) {
	text, given, err := headerValue(header, name)
	if err != nil || !given {
		return 0, err
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number < 1 || number > greatest {
		return 0, result.Errorf(result.BadRequest, "header %s: a whole number from 1 to %d is wanted, found %.40q", name, greatest, text)
	}
	return number, nil
}

func parseRepeatable(header http.Header) (bool, error) {
	text, given, err := headerValue(header, HeaderRepeatable)
	if err != nil {
		return false, err
	}
	if !given || text == "true" {
		return true, nil
	}
	if text == "false" {
		return false, nil
	}
	return false, result.Errorf(result.BadRequest, "header %s: true or false is wanted, found %.40q", HeaderRepeatable, text)
}
