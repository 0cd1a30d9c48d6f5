package sheet

import "github.com/go-logr/logr"

func discardLog() logr.Logger { return logr.Discard() }
