package command

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/oleanderspool/oleanderspool/internal/measure"
	"github.com/oleanderspool/oleanderspool/internal/observe"
)

// maxLogLine bounds a line of a log in bytes.
const maxLogLine = 1 << 20

// predictionsCommand compares predicted and real first tokens.
type predictionsCommand struct{}

func (c *predictionsCommand) run(env environment, files []string) error {
	readers := []io.Reader{os.Stdin}
	if len(files) > 0 {
		readers = nil
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // it was only read
		readers = append(readers, file)
	}
	table := newPredictionTable()
	for _, r := range readers {
		if err := table.read(r); err != nil {
			return err
		}
	}
	return table.print(env.stdout)
}

// predictionTable collects placements and first tokens from the logs of entries.
type predictionTable struct {
	prompts map[string]int // tokens of the requests that were placed
	rows    map[predictionRow]*predictionSamples
}

// predictionRow is a row of the table.
type predictionRow struct {
	length string // class of prompt lengths
	joint  bool   // read by several servers
}

// predictionSamples holds times in ms.
type predictionSamples struct {
	predicted, real, errors []float64
}

func newPredictionTable() *predictionTable {
	return &predictionTable{prompts: make(map[string]int), rows: make(map[predictionRow]*predictionSamples)}
}

// firstToken is a first token that an entry logged; times are in ms.
type firstToken struct {
	request         string
	predicted, real float64
	joint           bool // the prompt was read by several servers
	events          int  // of the answer; 0 for a plain one
	sends           int  // to backend servers
}

// read takes a log in JSON. What stands before the object in a line is skipped,
// and so are lines without one that can be read. Requests that were sent more than
// once are left out: their first token has no single prediction.
func (t *predictionTable) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		switch {
		case bytes.Contains(line, []byte(`"msg":"placed"`)):
			if request, prompt, ok := decodePlaced(line[start:]); ok {
				t.prompts[request] = prompt
			}
		case bytes.Contains(line, []byte(`"msg":"answered"`)):
			if f, ok := decodeAnswered(line[start:]); ok && f.events > 0 && f.sends == 1 {
				t.add(f)
			}
		}
	}
	return lines.Err()
}

func (t *predictionTable) add(f firstToken) {
	prompt, found := t.prompts[f.request]
	if !found {
		return
	}
	delete(t.prompts, f.request)
	row := predictionRow{length: observe.LengthClass(prompt), joint: f.joint}
	samples := t.rows[row]
	if samples == nil {
		samples = &predictionSamples{}
		t.rows[row] = samples
	}
	samples.predicted = append(samples.predicted, f.predicted)
	samples.real = append(samples.real, f.real)
	samples.errors = append(samples.errors, f.real-f.predicted)
}

// print writes the table; times are in ms.
func (t *predictionTable) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "PROMPT\tREAD BY\tREQUESTS\tPREDICTED P50\tREAL P50\tPREDICTED P90\tREAL P90\tERROR P10\tERROR P50\tERROR P90\t")
	for _, length := range observe.LengthClasses() {
		for _, joint := range []bool{false, true} {
			s := t.rows[predictionRow{length, joint}]
			if s == nil {
				continue
			}
			readBy := "one"
			if joint {
				readBy = "several"
			}
			for _, values := range [][]float64{s.predicted, s.real, s.errors} {
				slices.Sort(values)
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", length, readBy, len(s.real),
				measure.Percentile(s.predicted, 0.5), measure.Percentile(s.real, 0.5),
				measure.Percentile(s.predicted, 0.9), measure.Percentile(s.real, 0.9),
				measure.Percentile(s.errors, 0.1), measure.Percentile(s.errors, 0.5), measure.Percentile(s.errors, 0.9))
		}
	}
	return table.Flush()
}
