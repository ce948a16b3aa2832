package trace

import (
	_ "embed"
	"html/template"
	"io"
	"slices"

	"vanillabridge/core/fault"
)

// Sizes of the picture, in pixels.
const (
	rowHeight  = 18
	laneWidth  = 96 // at least
	charWidth  = 8
	timeWidth  = 200
	headHeight = 40
	textWidth  = 900
)

//go:embed picture.html
var pictureText string

var pictureTemplate = template.Must(template.New("picture").Parse(pictureText))

type picture struct {
	Width, Height, Bottom int
	Lanes                 []lane
	Rows                  []row
	Links                 []link
}

type lane struct {
	Name string
	X    int
}

type row struct {
	Y, X, TextX       int
	Time, Kind, Class string
	Process, About    string
}

// link joins two events in a row that concern the same task or request.
type link struct{ X1, Y1, X2, Y2 int }

// WritePicture writes the entries as one HTML page with a lane for each process. Time runs
// downwards, one row for each event; lines join the events of a task or a request. The page
// loads nothing from elsewhere.
func WritePicture(w io.Writer, entries []Entry) error {
	if err := pictureTemplate.Execute(w, draw(entries)); err != nil {
		return fault.Wrap(err, "write %d events as HTML", len(entries))
	}
	return nil
}

func draw(entries []Entry) picture {
	var names []string
	for _, e := range entries {
		if !slices.Contains(names, e.Process) {
			names = append(names, e.Process)
		}
	}
	slices.Sort(names)
	p := picture{Bottom: headHeight + rowHeight*(len(entries)+1)}
	width := laneWidth
	for _, name := range names {
		width = max(width, charWidth*(len(name)+2))
	}
	laneX := make(map[string]int, len(names))
	for i, name := range names {
		laneX[name] = timeWidth + width*i + width/2
		p.Lanes = append(p.Lanes, lane{Name: name, X: laneX[name]})
	}
	textX := timeWidth + width*len(names)
	p.Width, p.Height = textX+textWidth, p.Bottom+rowHeight
	last := map[string]row{}
	for i, e := range entries {
		r := row{
			Y: headHeight + rowHeight*(i+1), X: laneX[e.Process], TextX: textX,
			Time: e.Stamp.Clock(), Kind: string(e.Event.Kind()), Class: class(e.Event),
			Process: e.Process, About: Describe(e.Event),
		}
		p.Rows = append(p.Rows, r)
		if key := linkKey(e.Event); key != "" {
			if before, ok := last[key]; ok {
				p.Links = append(p.Links, link{before.X, before.Y, r.X, r.Y})
			}
			last[key] = r
		}
	}
	return p
}

// linkKey identifies the task, the job or the request that an event belongs to.
func linkKey(e Event) string {
	s := e.About()
	switch {
	case s.Task.Job != "":
		return "task " + s.Task.String()
	case s.Request != "":
		return "request " + s.Request
	case s.Job != "":
		return "job " + string(s.Job)
	default:
		return ""
	}
}

// class chooses the colour of an event.
func class(e Event) string {
	switch e.(type) {
	case Refused, ConfigRefused, Failed, WorkerLost, WorkerSuspended, PeerLost, ServerLeft:
		return "bad"
	case EpochChanged, LeaderChanged, VotersChanged, ConfigApplied:
		return "group"
	case Restarted, Ready, Draining, Drained, ServerJoined, WorkerJoined, WorkerRestored, PeerReached:
		return "process"
	default:
		return "work"
	}
}
