package trace

import (
	_ "embed"
	"html/template"
	"io"
	"slices"

	"vanillabridge/core/fault"
)

// Dimensions of the picture, in pixels.
const (
	rowHeight        = 18
	minLaneWidth     = 96 // a lane is wider if a process name needs it
	charWidth        = 8
	timeColumnWidth  = 200
	headerHeight     = 40
	descriptionWidth = 900
)

//go:embed picture.html
var pictureText string

var pictureTemplate = template.Must(template.New("picture").Parse(pictureText))

// picture is the data of the HTML template.
type picture struct {
	Width, Height, Bottom int
	Lanes                 []lane
	Rows                  []row
	Links                 []link
}

// lane is the column of one process.
type lane struct {
	Name string
	X    int
}

// row is one event.
type row struct {
	Y, X, DescriptionX   int
	Time, Kind, CSSClass string
	Process, Description string
}

// link is a line between two consecutive events that concern the same task, job or request.
type link struct{ X1, Y1, X2, Y2 int }

// WriteHTML writes the entries as a self-contained HTML page with a lane for each process and
// a row for each event, in the order of entries from top to bottom. Lines connect the events of
// a task, a job or a request.
func WriteHTML(w io.Writer, entries []Entry) error {
	if err := pictureTemplate.Execute(w, layOut(entries)); err != nil {
		return fault.Wrap(err, "write %d events as HTML", len(entries))
	}
	return nil
}

func layOut(entries []Entry) picture {
	var names []string
	for _, e := range entries {
		if !slices.Contains(names, e.Process) {
			names = append(names, e.Process)
		}
	}
	slices.Sort(names)
	p := picture{Bottom: headerHeight + rowHeight*(len(entries)+1)}
	width := minLaneWidth
	for _, name := range names {
		width = max(width, charWidth*(len(name)+2))
	}
	laneX := make(map[string]int, len(names))
	for i, name := range names {
		laneX[name] = timeColumnWidth + width*i + width/2
		p.Lanes = append(p.Lanes, lane{Name: name, X: laneX[name]})
	}
	textX := timeColumnWidth + width*len(names)
	p.Width, p.Height = textX+descriptionWidth, p.Bottom+rowHeight
	last := map[string]row{}
	for i, e := range entries {
		r := row{
			Y: headerHeight + rowHeight*(i+1), X: laneX[e.Process], DescriptionX: textX,
			Time: e.Stamp.FormatUTC(), Kind: string(e.Event.Kind()), CSSClass: cssClass(e.Event),
			Process: e.Process, Description: Describe(e.Event),
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

// linkKey identifies the task, job or request that an event belongs to, or returns "" if there
// is none.
func linkKey(e Event) string {
	s := e.EventSubject()
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

// cssClass returns the CSS class of an event, which determines its colour.
func cssClass(e Event) string {
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
