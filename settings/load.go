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
	// flagSource is the Source of an Error if no file was given.
	flagSource = "flags"
)

// AddFlags defines a flag for each option of a node.
func AddFlags(flags *pflag.FlagSet) { addFlags(flags, Options()) }

// AddGatewayFlags defines a flag for each option of a gateway.
func AddGatewayFlags(flags *pflag.FlagSet) { addFlags(flags, GatewayOptions()) }

// AddStorageFlags defines a flag for each option of a storage node.
func AddStorageFlags(flags *pflag.FlagSet) { addFlags(flags, StorageOptions()) }

func addFlags[T any](flags *pflag.FlagSet, options []OptionOf[T]) {
	for _, option := range options {
		usage := option.Usage + "; " + option.Allowed
		var zero T
		if _, isList := option.field(&zero).(*[]netip.AddrPort); isList {
			flags.StringSlice(option.Flag(), nil, usage)
			continue
		}
		flags.String(option.Flag(), option.Default, usage)
	}
}

// Load loads the settings of a node from the file at path, overrides them by the flags
// that were set, and validates the result. With an empty path only flags are used; with
// nil flags only the file. Every error is an [*Error].
func Load(path string, flags *pflag.FlagSet) (Settings, error) {
	loader := newLoader(path, flags, Options())
	return loader.load(checkCrossFields)
}

// loader loads a settings file and flags into a T.
type loader[T any] struct {
	path    string
	flags   *pflag.FlagSet
	options []OptionOf[T]
	values  *koanf.Koanf
}

func newLoader[T any](path string, flags *pflag.FlagSet, options []OptionOf[T]) *loader[T] {
	return &loader[T]{path: path, flags: flags, options: options, values: koanf.New(keyDelimiter)}
}

// load reads, decodes and validates the settings; checkCrossFields rejects combinations of
// values that conflict.
func (l *loader[T]) load(checkCrossFields func(*loader[T], T) error) (T, error) {
	var zero T
	if err := l.read(); err != nil {
		return zero, err
	}
	loaded, err := l.decode()
	if err != nil {
		return zero, err
	}
	if err := l.checkFields(loaded); err != nil {
		return zero, err
	}
	if err := checkCrossFields(l, loaded); err != nil {
		return zero, err
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
	if err := l.rejectUnknownKeys(); err != nil {
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

// flagValue returns the key and value of an option's flag. The key is empty if the flag
// doesn't belong to an option.
func (l *loader[T]) flagValue(flag *pflag.Flag) (string, any) {
	for _, option := range l.options {
		if option.Flag() == flag.Name {
			return option.Key, posflag.FlagVal(l.flags, flag)
		}
	}
	return "", nil
}

func (l *loader[T]) rejectUnknownKeys() error {
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
			var zero T
			return zero, err
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
		return l.optionError(option, err.Error())
	}
	return nil
}

// optionError returns an error for the option that names the source of its value.
func (l *loader[T]) optionError(option OptionOf[T], problem string) *Error {
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
