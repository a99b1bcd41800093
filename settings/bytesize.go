package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ByteSize is a number of bytes.
type ByteSize int64

// Units of a ByteSize.
const (
	Byte     ByteSize = 1
	Kibibyte          = 1024 * Byte
	Mebibyte          = 1024 * Kibibyte
	Gibibyte          = 1024 * Mebibyte
)

type sizeUnit struct {
	suffix string
	size   ByteSize
}

// sizeUnits returns the units, longer suffixes first, since every suffix ends in "B".
func sizeUnits() []sizeUnit {
	return []sizeUnit{{"GiB", Gibibyte}, {"MiB", Mebibyte}, {"KiB", Kibibyte}, {"B", Byte}}
}

// ParseByteSize parses a whole number followed by B, KiB, MiB or GiB.
func ParseByteSize(text string) (ByteSize, error) {
	for _, unit := range sizeUnits() {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil {
			return 0, merry.Errorf("%q isn't a size with a unit", text)
		}
		if count > uint64(math.MaxInt64/unit.size) {
			return 0, merry.Errorf("%q is too large", text)
		}
		return ByteSize(count) * unit.size, nil
	}
	return 0, merry.Errorf("%q isn't a size with a unit", text)
}

// String formats the size in the largest unit that divides it.
func (b ByteSize) String() string {
	for _, unit := range sizeUnits() {
		if b != 0 && b%unit.size == 0 {
			return strconv.FormatInt(int64(b/unit.size), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
