package main

import (
	"bufio"
	"encoding/json"
	"os"
	"time"
)

// recorder appends one JSON object a line to record.txt. Several processes write to the same file;
// each line is one write to a file opened for appending.
type recorder struct {
	file  *os.File
	began time.Time
}

func openRecorder(path string, began time.Time) *recorder {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		panic(err)
	}
	return &recorder{file, began}
}

// write appends an event. pairs holds alternating names and values.
func (r *recorder) write(event string, pairs ...any) {
	line := map[string]any{"ms": float64(time.Since(r.began).Microseconds()) / 1000, "event": event}
	for i := 0; i+1 < len(pairs); i += 2 {
		line[pairs[i].(string)] = pairs[i+1]
	}
	text, err := json.Marshal(line)
	if err != nil {
		panic(err)
	}
	_, _ = r.file.Write(append(text, '\n'))
}

// event is one line of record.txt.
type event struct {
	Ms     float64 `json:"ms"`
	Event  string  `json:"event"`
	Worker string  `json:"worker"`
	Born   int64   `json:"born"`
	Task   string  `json:"task"`
	Run    int     `json:"run"`
	How    string  `json:"how"`
	Number int64   `json:"number"`
	Upto   int64   `json:"upto"`
}

func readRecord(path string) []event {
	file, err := os.Open(path)
	if err != nil {
		panic(err)
	}
	defer file.Close()
	var out []event
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) == nil {
			out = append(out, e)
		}
	}
	return out
}
