package engine

import "testing"

const (
	benchmarkEngines = 800
	// programsPerEngine is how many programs have a call under way at once on
	// each engine.
	programsPerEngine = 12
	benchmarkTurns    = 20
)

// benchmarkEngine is a core with programs that always have a call under way.
type benchmarkEngine struct {
	core  *Core
	paths [programsPerEngine][]Segment
	turns [programsPerEngine]int
}

var benchmarkNames = [programsPerEngine]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}

// BenchmarkCore drives 800 engines of all generations, each with 12 programs of
// 20 dependent turns after a shared system prompt. One operation is one request
// from Submit to Finished; its context has 600 to 4,600 tokens.
func BenchmarkCore(b *testing.B) {
	var content uint64
	engines := make([]benchmarkEngine, benchmarkEngines)
	for index := range engines {
		engine := &engines[index]
		engine.core = NewCore(CoreOptions{Generation: generations[index%len(generations)], Models: testModels})
		for number := range engine.paths {
			content++
			engine.submit(b, number, content)
		}
	}
	b.ReportAllocs()
	for operation := 0; b.Loop(); operation++ {
		content += programsPerEngine
		engines[operation%benchmarkEngines].finishOne(b, content)
	}
}

// submit sends the next turn of a program.
func (e *benchmarkEngine) submit(b *testing.B, number int, content uint64) {
	if e.turns[number]%benchmarkTurns == 0 {
		e.core.Release(e.core.now, benchmarkNames[number])
		e.paths[number] = []Segment{{ID: 1, Tokens: 600}}
	}
	e.turns[number]++
	path := append(e.paths[number], Segment{ID: content, Tokens: 120})
	err := e.core.Submit(e.core.now, Request{
		ID: uint64(number), Program: benchmarkNames[number], Model: "m", Hold: true,
		Path: path, OutputID: content << 32, OutputTokens: 80,
	})
	if err != nil {
		b.Fatal(err)
	}
	e.paths[number] = append(path, Segment{ID: content << 32, Tokens: 80})
}

// finishOne advances the engine until a request has ended, and submits the next
// turn of each program whose request has.
func (e *benchmarkEngine) finishOne(b *testing.B, content uint64) {
	for ended := false; !ended; {
		at, any := e.core.NextEvent()
		if !any {
			b.Fatal("an engine with requests has no next event")
		}
		for _, event := range e.core.Advance(at) {
			if event.Kind == Finished {
				content++
				e.submit(b, int(event.ID), content)
				ended = true
			}
		}
	}
}
