package configuration

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

const namePatternText = `^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`

var (
	namePattern   = regexp.MustCompile(namePatternText)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker collects the faults of one object.
type checker struct {
	object Object
	faults Faults
}

func (c *checker) add(field, format string, args ...any) {
	c.addReference(Key{}, field, format, args...)
}

func (c *checker) addReference(reference Key, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		Key:       c.object.Key,
		Version:   c.object.Version,
		Field:     field,
		Problem:   fmt.Sprintf(format, args...),
		reference: reference,
	})
}

// name checks a name; label is the field.
func (c *checker) name(label, value string) {
	if !namePattern.MatchString(value) {
		c.add(label, "%q isn't a name; allowed: %s", value, namePatternText)
	}
}

// names checks a list of names: not empty, none twice.
func (c *checker) names(label string, values []string) {
	if len(values) == 0 {
		c.add(label, "is empty; allowed: one name or more")
	}
	c.optionalNames(label, values)
}

func (c *checker) optionalNames(label string, values []string) {
	for index, value := range values {
		c.name(fmt.Sprintf("%s[%d]", label, index), value)
		if slices.Contains(values[:index], value) {
			c.add(label, "%q stands twice; allowed: each once", value)
		}
	}
}

// between checks a number against its least and greatest allowed value.
func between[T uint32 | uint64 | float64 | Duration](c *checker, label string, value, least, greatest T) {
	// The negation also refuses a float that isn't a number.
	if !(value >= least && value <= greatest) {
		c.add(label, "%v is out of range; allowed: %v to %v", show(value), show(least), show(greatest))
	}
}

func show(value any) any {
	if duration, is := value.(Duration); is {
		return duration.Std()
	}
	return value
}

// role checks the name of a role.
func (c *checker) role(label string, role Role) {
	roles := []Role{RoleMixed, RolePrefill, RoleDecode}
	if !slices.Contains(roles, role) {
		c.add(label, "%q isn't a role; allowed: %s, %s, %s", role, RoleMixed, RolePrefill, RoleDecode)
	}
}

// hostPort checks an address by IP number.
func (c *checker) hostPort(label, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		c.add(label, "%q isn't an address; allowed: IP:port by number, such as 10.0.0.7:7400", address)
	}
}

// httpAddress checks an http URL by IP number without a path.
func (c *checker) httpAddress(label, address string) {
	parsed, err := url.Parse(address)
	valid := err == nil && parsed.Scheme == "http" && "http://"+parsed.Host == strings.TrimSuffix(address, "/")
	if valid {
		host, err := netip.ParseAddrPort(parsed.Host)
		valid = err == nil && host.Port() != 0
	}
	if !valid {
		c.add(label, "%q isn't an address; allowed: http://IP:port by number, such as http://10.0.0.7:8000", address)
	}
}

// exists checks that another object is there.
func (c *checker) exists(snapshot *Snapshot, label string, kind Kind, name string) bool {
	reference := Key{Kind: kind, Name: name}
	if snapshot.spec(reference) != nil {
		return true
	}
	c.addReference(reference, label, "there is no %s; allowed: the name of an existing %s", reference, kind)
	return false
}
