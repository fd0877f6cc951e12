package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"stoneford/internal/control"
	"stoneford/language"
	"stoneford/result"
)

// sentenceCommand returns the command that executes a sentence of package language.
func sentenceCommand() *cli.Command {
	return &cli.Command{
		Name:            "say",
		HideHelpCommand: true,
		Usage:           "type a question or a command, such as: what is booked tomorrow",
		ArgsUsage:       "WORDS...",
		Description:     language.Help,
		Action:          runSentence,
	}
}

func runSentence(ctx context.Context, c *cli.Command) error {
	sentence := strings.Join(c.Args().Slice(), " ")
	if sentence == "" {
		sentence = "help"
	}
	r, err := client(c).RunSentence(ctx, sentence)
	if err != nil {
		return uncertainError(err)
	}
	if c.Bool("json") {
		if err := printJSON(r); err != nil {
			return err
		}
	} else if r.Code == result.OK {
		fmt.Println(r.Result)
	}
	return sentenceError(sentence, r)
}

// sentenceError returns the error for a reply, or nil if its code is OK. For a sentence
// that could not be parsed, the error marks the column at fault.
func sentenceError(sentence string, r control.CommandReply) error {
	if r.Code == result.OK {
		return nil
	}
	text := r.Text
	if r.Result != "" {
		text += "\n  " + r.Result
	}
	var languageErr *language.Error
	if _, err := language.Parse(sentence, time.Now()); r.Code == result.NotUnderstood && errors.As(err, &languageErr) {
		text += fmt.Sprintf("\n  %s\n  %*s", sentence, languageErr.Column, "^")
	}
	return replyError{code: r.Code, text: text}
}
