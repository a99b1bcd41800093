package settings

import (
	"net/netip"
	"sort"
	"strings"

	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"
)

const (
	keyDelimiter = "."
	// flagSource is the Source of an Error where no file was given.
	flagSource = "flags"
)

// AddFlags adds one flag for each option.
func AddFlags(flags *pflag.FlagSet) {
	for _, option := range Options() {
		usage := option.Usage + "; " + option.Allowed
		if _, isList := option.field(&Settings{}).(*[]netip.AddrPort); isList {
			flags.StringSlice(option.Flag(), nil, usage)
			continue
		}
		flags.String(option.Flag(), option.Default, usage)
	}
}

// Load reads the file and then the flags that were set, which win, and checks
// the whole. An empty path reads flags only; nil flags read the file only.
// Every error is an *Error.
func Load(path string, flags *pflag.FlagSet) (Settings, error) {
	loader := loader{path: path, flags: flags, values: koanf.New(keyDelimiter)}
	if err := loader.read(); err != nil {
		return Settings{}, err
	}
	loaded, err := loader.decode()
	if err != nil {
		return Settings{}, err
	}
	if err := loader.check(loaded); err != nil {
		return Settings{}, err
	}
	return loaded, nil
}

type loader struct {
	path   string
	flags  *pflag.FlagSet
	values *koanf.Koanf
}

func (l *loader) read() error {
	if l.path != "" {
		err := l.values.Load(file.Provider(l.path), strictYAML{})
		if err != nil {
			return &Error{Source: l.path, Problem: oneLine(err.Error())}
		}
	}
	if err := l.refuseUnknownKeys(); err != nil {
		return err
	}
	if l.flags == nil {
		return nil
	}
	provider := posflag.ProviderWithFlag(l.flags, keyDelimiter, nil, l.flagValue)
	if err := l.values.Load(provider, nil); err != nil {
		return &Error{Source: flagSource, Problem: oneLine(err.Error())}
	}
	return nil
}

// flagValue returns the key and value of an option's flag, and an empty key
// for flags that aren't options.
func (l *loader) flagValue(flag *pflag.Flag) (string, any) {
	for _, option := range Options() {
		if option.Flag() == flag.Name {
			return option.Key, posflag.FlagVal(l.flags, flag)
		}
	}
	return "", nil
}

func (l *loader) refuseUnknownKeys() error {
	known := make(map[string]bool)
	names := make([]string, 0)
	for _, option := range Options() {
		known[option.Key] = true
		names = append(names, option.Key)
	}
	keys := l.values.Keys()
	sort.Strings(keys)
	for _, key := range keys {
		if !known[key] {
			return &Error{Source: l.path, Key: key, Problem: "unknown key", Allowed: strings.Join(names, ", ")}
		}
	}
	return nil
}

func (l *loader) decode() (Settings, error) {
	var loaded Settings
	for _, option := range Options() {
		if err := l.decodeOption(&loaded, option); err != nil {
			return Settings{}, err
		}
	}
	return loaded, nil
}

func (l *loader) decodeOption(loaded *Settings, option Option) error {
	var value any
	switch {
	case l.values.Exists(option.Key):
		value = l.values.Get(option.Key)
	case option.Default != "":
		value = option.Default
	default:
		return nil
	}
	if err := decode(option.field(loaded), value); err != nil {
		return l.fault(option, err.Error())
	}
	return nil
}

// fault makes the error of one option and names where its value came from.
func (l *loader) fault(option Option, problem string) *Error {
	return &Error{Source: l.source(option), Key: option.Key, Problem: problem, Allowed: option.Allowed}
}

func (l *loader) source(option Option) string {
	if l.flags != nil && l.flags.Changed(option.Flag()) {
		return "flag --" + option.Flag()
	}
	if l.path == "" {
		return flagSource
	}
	return l.path
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
