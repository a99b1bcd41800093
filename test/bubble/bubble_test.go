package bubble_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marblering/marblering/test/bubble"
)

// TestDueTimersAreLookedAtTogether: goroutines of a bubble may look at timers that are
// due at the same instant. With synctest.Test alone the race detector ended the process.
func TestDueTimersAreLookedAtTogether(t *testing.T) {
	const (
		bubbles    = 100
		goroutines = 200
		timers     = 10
	)
	processors := runtime.GOMAXPROCS(0)
	for range bubbles {
		bubble.Test(t, func(t *testing.T) {
			var all sync.WaitGroup
			for range goroutines {
				all.Go(func() {
					for range timers {
						timer := time.NewTimer(time.Millisecond)
						time.Sleep(time.Millisecond)
						select {
						case <-timer.C:
						default:
							t.Error("the timer isn't due")
						}
					}
				})
			}
			all.Wait()
		})
	}
	assert.Equal(t, runtime.GOMAXPROCS(0), processors)
}

// TestBubblesAreMadeHere: a bubble made in another way can end the process.
func TestBubblesAreMadeHere(t *testing.T) {
	const root = "../.."
	made := []byte("synctest" + ".Test(")
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" {
			return nil
		}
		content, err := os.ReadFile(path)
		if err == nil && bytes.Contains(content, made) {
			found = append(found, filepath.ToSlash(path))
		}
		return err
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, found, []string{root + "/test/bubble/bubble.go"})
}
