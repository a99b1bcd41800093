package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
)

// decode parses value, which comes from the file or a flag, into field, a pointer as
// returned by OptionOf.field.
func decode(field, value any) error {
	switch target := field.(type) {
	case *int:
		return decodeInt(target, value)
	case *float64:
		return decodeFloat(target, value)
	case *[]netip.AddrPort:
		return decodeAddresses(target, value)
	}
	text, isText := value.(string)
	if !isText {
		return merry.Errorf("%s isn't text", formatValue(value))
	}
	return decodeText(field, text)
}

func decodeText(field any, text string) (err error) {
	switch target := field.(type) {
	case *string:
		*target = text
	case *netip.AddrPort:
		*target, err = parseAddress(text)
	case *time.Duration:
		*target, err = parseDuration(text)
	case *ByteSize:
		*target, err = ParseByteSize(text)
	default:
		err = merry.Errorf("unsupported settings type %T", field)
	}
	return err
}

func decodeInt(target *int, value any) error {
	switch number := value.(type) {
	case int:
		*target = number
		return nil
	case string:
		parsed, err := strconv.Atoi(number)
		if err == nil {
			*target = parsed
			return nil
		}
	}
	return merry.Errorf("%s isn't a whole number", formatValue(value))
}

func decodeFloat(target *float64, value any) error {
	switch number := value.(type) {
	case float64:
		*target = number
		return nil
	case int:
		*target = float64(number)
		return nil
	case string:
		parsed, err := strconv.ParseFloat(number, 64)
		if err == nil {
			*target = parsed
			return nil
		}
	}
	return merry.Errorf("%s isn't a number", formatValue(value))
}

func decodeAddresses(target *[]netip.AddrPort, value any) error {
	items, err := listItems(value)
	if err != nil {
		return err
	}
	addresses := make([]netip.AddrPort, 0, len(items))
	for _, item := range items {
		address, err := parseAddress(item)
		if err != nil {
			return err
		}
		if address.Port() == 0 {
			return merry.Errorf("%q has port 0", item)
		}
		addresses = append(addresses, address)
	}
	*target = addresses
	return nil
}

// listItems returns the items of a list from the file or a flag.
func listItems(value any) ([]string, error) {
	switch list := value.(type) {
	case []string:
		return list, nil
	case []any:
		items := make([]string, 0, len(list))
		for _, item := range list {
			text, isText := item.(string)
			if !isText {
				return nil, merry.Errorf("the item %s isn't text", formatValue(item))
			}
			items = append(items, text)
		}
		return items, nil
	}
	return nil, merry.Errorf("%s isn't a list", formatValue(value))
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, merry.Errorf("%q isn't an IP number and port", text)
	}
	return address, nil
}

func parseDuration(text string) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, merry.Errorf("%q isn't a duration with a unit", text)
	}
	return duration, nil
}

// formatValue formats a value for an error message; strings are quoted.
func formatValue(value any) string {
	switch typed := value.(type) {
	case nil:
		return "an empty value"
	case string:
		return strconv.Quote(typed)
	}
	return fmt.Sprint(value)
}
