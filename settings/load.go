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

// AddFlags adds one flag for each option of a node.
func AddFlags(flags *pflag.FlagSet) { addFlags(flags, Options()) }

// AddGatewayFlags adds one flag for each option of a gateway.
func AddGatewayFlags(flags *pflag.FlagSet) { addFlags(flags, GatewayOptions()) }

// AddStorageFlags adds one flag for each option of a storage node.
func AddStorageFlags(flags *pflag.FlagSet) { addFlags(flags, StorageOptions()) }

func addFlags[T any](flags *pflag.FlagSet, options []OptionOf[T]) {
	for _, option := range options {
		usage := option.Usage + "; " + option.Allowed
		var none T
		if _, isList := option.field(&none).(*[]netip.AddrPort); isList {
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
	loader := newLoader(path, flags, Options())
	return loader.load(checkPairs)
}

// loader reads one settings file and flags into a T.
type loader[T any] struct {
	path    string
	flags   *pflag.FlagSet
	options []OptionOf[T]
	values  *koanf.Koanf
}

func newLoader[T any](path string, flags *pflag.FlagSet, options []OptionOf[T]) *loader[T] {
	return &loader[T]{path: path, flags: flags, options: options, values: koanf.New(keyDelimiter)}
}

// load reads and checks everything; checkPairs refuses values that contradict
// each other.
func (l *loader[T]) load(checkPairs func(*loader[T], T) error) (T, error) {
	var none T
	if err := l.read(); err != nil {
		return none, err
	}
	loaded, err := l.decode()
	if err != nil {
		return none, err
	}
	if err := l.checkFields(loaded); err != nil {
		return none, err
	}
	if err := checkPairs(l, loaded); err != nil {
		return none, err
	}
	return loaded, nil
}

func (l *loader[T]) read() error {
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
func (l *loader[T]) flagValue(flag *pflag.Flag) (string, any) {
	for _, option := range l.options {
		if option.Flag() == flag.Name {
			return option.Key, posflag.FlagVal(l.flags, flag)
		}
	}
	return "", nil
}

func (l *loader[T]) refuseUnknownKeys() error {
	known := make(map[string]bool)
	names := make([]string, 0)
	for _, option := range l.options {
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

func (l *loader[T]) decode() (T, error) {
	var loaded T
	for _, option := range l.options {
		if err := l.decodeOption(&loaded, option); err != nil {
			var none T
			return none, err
		}
	}
	return loaded, nil
}

func (l *loader[T]) decodeOption(loaded *T, option OptionOf[T]) error {
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
func (l *loader[T]) fault(option OptionOf[T], problem string) *Error {
	return &Error{Source: l.source(option), Key: option.Key, Problem: problem, Allowed: option.Allowed}
}

func (l *loader[T]) source(option OptionOf[T]) string {
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
