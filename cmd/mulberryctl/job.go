package main

import (
	"fmt"
	"time"

	"github.com/mulberrydrum/mulberrydrum/api"
	"github.com/mulberrydrum/mulberrydrum/errkind"
	"github.com/mulberrydrum/mulberrydrum/task"
)

// showJob prints job and returns an exitError if a task did not succeed.
func (e *environment) showJob(job api.Job) error {
	if err := e.show(job, jobLines(job)...); err != nil {
		return err
	}
	if e.Output == "text" && len(job.Tasks) == 1 {
		if _, err := e.stdout.Write(job.Tasks[0].Result); err != nil {
			return err
		}
	}
	if code := jobExitCode(job); code != 0 {
		return exitError{code}
	}
	return nil
}

func jobLines(job api.Job) []string {
	lines := []string{fmt.Sprintf("%s\t%s", job.ID, job.State)}
	if job.Repeated {
		lines[0] += "\trepeated"
	}
	for _, t := range job.Tasks {
		lines = append(lines, taskLine(t))
	}
	return lines
}

func taskLine(t api.Task) string {
	line := fmt.Sprintf("  task %d\t%s\tattempt %d", t.Index, t.State, t.Attempt)
	if t.State.IsFinal() {
		line += fmt.Sprintf("\texit code %d\t%s", t.ExitCode, time.Duration(t.RunTime))
	}
	if t.Worker != "" {
		line += "\ton " + t.Worker
	}
	if t.Reason != "" {
		line += "\t" + t.Reason
	}
	return line
}

// jobExitCode returns the exit code for the first task that did not succeed, or 0. An
// unfinished task does not count as a failure, because it only means that the wait was
// too short, which a script can detect by the printed state.
func jobExitCode(job api.Job) int {
	for _, t := range job.Tasks {
		switch {
		case !t.State.IsFinal():
		case t.State == task.Unknown:
			return errkind.ResponseFor(errkind.OutcomeUnknown).ExitCode
		case t.Reason != "":
			return errkind.ResponseFor(errkind.Kind(t.Reason)).ExitCode
		case t.State == task.NotRun, t.ExitCode != 0:
			return errkind.ResponseFor(errkind.TaskFailed).ExitCode
		}
	}
	return 0
}
