package harness

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// maxLogLine bounds the length of a line of a log, in bytes.
const maxLogLine = 1 << 20

// LogLine is a line of a process's structured log.
type LogLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	// Fields are all fields of the line.
	Fields map[string]any `json:"-"`
}

// ReadLogLines returns the lines of the log at path that have one of the messages. Lines that are not
// structured are ignored, such as one that was cut off when its process was killed.
func ReadLogLines(path string, messages ...string) ([]LogLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "read log")
	}
	defer file.Close()
	var lines []LogLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line LogLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || !slices.Contains(messages, line.Message) {
			continue
		}
		if err := json.Unmarshal(scanner.Bytes(), &line.Fields); err != nil {
			return nil, eris.Wrap(err, "read log")
		}
		lines = append(lines, line)
	}
	return lines, eris.Wrap(scanner.Err(), "read log")
}
