package command

import (
	"bufio"
	"bytes"
	"encoding/json"
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

// placedLine and answeredLine are what the table takes from a log.
type (
	placedLine struct {
		Request string `json:"request_id"`
		Prompt  int    `json:"prompt"`
	}
	answeredLine struct {
		Request   string  `json:"request_id"`
		First     float64 `json:"first_ms"`
		Predicted float64 `json:"predicted_ms"`
		Helpers   int     `json:"helpers"`
		Events    int     `json:"events"`
		Sends     int     `json:"sends"`
	}
)

// read takes a log in JSON. What stands before the object in a line is skipped,
// and so are lines without one. Requests that were sent more than once are left
// out: their first token has no single prediction.
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
			var placed placedLine
			if json.Unmarshal(line[start:], &placed) == nil {
				t.prompts[placed.Request] = placed.Prompt
			}
		case bytes.Contains(line, []byte(`"msg":"answered"`)):
			var answered answeredLine
			if json.Unmarshal(line[start:], &answered) == nil && answered.Events > 0 && answered.Sends == 1 {
				t.add(answered)
			}
		}
	}
	return lines.Err()
}

func (t *predictionTable) add(a answeredLine) {
	prompt, found := t.prompts[a.Request]
	if !found {
		return
	}
	delete(t.prompts, a.Request)
	row := predictionRow{length: observe.LengthClass(prompt), joint: a.Helpers > 0}
	samples := t.rows[row]
	if samples == nil {
		samples = &predictionSamples{}
		t.rows[row] = samples
	}
	samples.predicted = append(samples.predicted, a.Predicted)
	samples.real = append(samples.real, a.First)
	samples.errors = append(samples.errors, a.First-a.Predicted)
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
