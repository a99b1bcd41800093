package numbering

import (
	"math/big"
	"strconv"
	"strings"
)

// Number is an event ID that is a number: decimal digits without leading zeros. It is empty for none.
type Number string

// maxExactDigits is the number of digits up to which differences are computed.
const maxExactDigits = 64

// Parse returns the number of an event ID.
func Parse(id string) (number Number, ok bool) {
	if id == "" || strings.Trim(id, "0123456789") != "" {
		return "", false
	}
	digits := strings.TrimLeft(id, "0")
	if digits == "" {
		digits = "0"
	}
	return Number(digits), true
}

// IsAfter reports whether the number is higher than the other.
func (n Number) IsAfter(other Number) bool {
	if len(n) != len(other) {
		return len(n) > len(other)
	}
	return n > other
}

// Since returns by how much the number is higher than the other. It isn't known if the difference exceeds
// 64 bits, or for numbers of more than maxExactDigits.
func (n Number) Since(other Number) (step uint64, known bool) {
	if !n.IsAfter(other) || len(n) > maxExactDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(string(n), 10, 64)
	if err != nil {
		return n.sinceLarge(other)
	}
	before, err := strconv.ParseUint(string(other), 10, 64)
	return number - before, err == nil
}

func (n Number) sinceLarge(other Number) (step uint64, known bool) {
	number, ok := new(big.Int).SetString(string(n), 10)
	if !ok {
		return 0, false
	}
	before, ok := new(big.Int).SetString(string(other), 10)
	if !ok {
		return 0, false
	}
	number.Sub(number, before)
	return number.Uint64(), number.IsUint64()
}
