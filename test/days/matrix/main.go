// Command matrix writes days for the users' bench: each ordered pair of troubles
// of storage machines, with the store well, silent or down between them, and a
// disk wiped at the end. test/days/README.md says how they are played.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	// Seconds of a day, counted from the start of its traffic.
	firstAt  = 4.0
	storeAt  = 6.0
	storeFor = 5.0
	secondAt = 9.0
	// firstSeed and the number of a day make its seed.
	firstSeed = 4000
)

// trouble is one entry of a day, without its moment.
type trouble struct {
	name, fields string
	isPlanned    bool
}

func troubles() []trouble {
	return []trouble{
		{"retire", `kind = "retire", for_s = 8.0`, true},
		{"replace", `kind = "replace_core", on = "store", x = 2.0`, false},
		{"wipe", `kind = "after_ack_wipe", on = "store", count = 1, how = "oldest", for_s = 1.0`, false},
		{"cut", `kind = "core_cut", on = "store", count = 1, for_s = 6.0`, false},
		{"freeze", `kind = "node_freeze", on = "store", count = 1, for_s = 3.0`, false},
		{"add", `kind = "add_nodes", on = "store", count = 1`, true},
	}
}

// day is one file.
type day struct {
	name, content string
}

// days returns the whole matrix, in an order that doesn't change.
func days() []day {
	var all []day
	for _, store := range []string{"well", "silent", "busy"} {
		for _, first := range troubles() {
			for _, second := range troubles() {
				all = append(all, newDay(len(all), first, second, store))
			}
		}
	}
	return all
}

func newDay(number int, first, second trouble, store string) day {
	var planned, faults string
	for _, entry := range []struct {
		trouble
		at float64
	}{{first, firstAt}, {second, secondAt}} {
		line := fmt.Sprintf("  { at = %.1f, %s },\n", entry.at, entry.fields)
		if entry.isPlanned {
			planned += line
		} else {
			faults += line
		}
	}
	if store != "well" {
		faults += fmt.Sprintf("  { at = %.1f, kind = \"platform_down\", for_s = %.1f, how = %q },\n", storeAt, storeFor, store)
	}
	name := fmt.Sprintf("%s-%s-%s", first.name, second.name, store)
	return day{name: name, content: fmt.Sprintf(
		"name = %q\nslot = \"trouble\"\nseed = %d\nclosing = { kind = \"wipe_after_ack\", down_s = 1.0, how = \"oldest\" }\nplan = [\n%s]\nfaults = [\n%s]\n",
		name, firstSeed+number, planned, faults)}
}

func main() {
	folder := flag.String("out", "", "folder for the days, which must exist")
	flag.Parse()
	if *folder == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	for _, one := range days() {
		if err := os.WriteFile(filepath.Join(*folder, one.name+".toml"), []byte(one.content), 0o644); err != nil {
			fmt.Fprintf(os.Stderr, "writing day %s: %v\n", one.name, err)
			os.Exit(1)
		}
	}
}
