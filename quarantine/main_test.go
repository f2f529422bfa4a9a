package quarantine

import (
	"os"
	"testing"

	"github.com/mulberrydrum/mulberrydrum/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
