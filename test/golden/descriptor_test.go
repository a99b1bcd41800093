package golden_test

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/golden"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	statev1 "github.com/marblering/marblering/api/state/v1"
)

// TestDescriptors holds all generated code, that of stored state included, to a golden
// text: names, numbers and types of every field, the values of every enum and the
// methods of every service. Nodes of two versions of the program talk to each other
// while a deployment is renewed, and a disk outlives the program that wrote it.
func TestDescriptors(t *testing.T) {
	var text strings.Builder
	for _, file := range []protoreflect.FileDescriptor{statev1.File_state_v1_state_proto, peerv1.File_peer_v1_peer_proto} {
		fmt.Fprintf(&text, "%s: package %s, %s\n", file.Path(), file.Package(), file.Syntax())
		describeEnums(&text, file.Enums())
		describeMessages(&text, file.Messages())
		describeServices(&text, file.Services())
	}
	golden.Assert(t, text.String(), "descriptors.golden")
}

func describeEnums(text *strings.Builder, enums protoreflect.EnumDescriptors) {
	for i := range enums.Len() {
		enum := enums.Get(i)
		fmt.Fprintf(text, "\nenum %s\n", enum.FullName())
		for j := range enum.Values().Len() {
			value := enum.Values().Get(j)
			fmt.Fprintf(text, "  %d %s\n", value.Number(), value.Name())
		}
	}
}

func describeMessages(text *strings.Builder, messages protoreflect.MessageDescriptors) {
	for i := range messages.Len() {
		message := messages.Get(i)
		if message.IsMapEntry() {
			continue
		}
		fmt.Fprintf(text, "\nmessage %s\n", message.FullName())
		for j := range message.Fields().Len() {
			field := message.Fields().Get(j)
			fmt.Fprintf(text, "  %d %s %s\n", field.Number(), field.Name(), fieldType(field))
		}
		describeEnums(text, message.Enums())
		describeMessages(text, message.Messages())
	}
}

// fieldType returns the type of the field as a .proto file writes it, with the
// group of alternatives that it belongs to.
func fieldType(field protoreflect.FieldDescriptor) string {
	name := elementType(field)
	switch {
	case field.IsMap():
		name = fmt.Sprintf("map<%s, %s>", elementType(field.MapKey()), elementType(field.MapValue()))
	case field.IsList():
		name = "repeated " + name
	case field.HasOptionalKeyword():
		name = "optional " + name
	}
	if group := field.ContainingOneof(); group != nil && !group.IsSynthetic() {
		name += " oneof " + string(group.Name())
	}
	return name
}

func elementType(field protoreflect.FieldDescriptor) string {
	switch field.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		return string(field.Message().FullName())
	case protoreflect.EnumKind:
		return string(field.Enum().FullName())
	default:
		return field.Kind().String()
	}
}

func describeServices(text *strings.Builder, services protoreflect.ServiceDescriptors) {
	for i := range services.Len() {
		service := services.Get(i)
		fmt.Fprintf(text, "\nservice %s\n", service.FullName())
		for j := range service.Methods().Len() {
			method := service.Methods().Get(j)
			fmt.Fprintf(text, "  %s(%s) returns (%s)\n", method.Name(),
				streamed(method.IsStreamingClient(), method.Input()), streamed(method.IsStreamingServer(), method.Output()))
		}
	}
}

func streamed(isStream bool, message protoreflect.MessageDescriptor) string {
	if isStream {
		return "stream " + string(message.FullName())
	}
	return string(message.FullName())
}
