// Package messenger holds the messages that heatherhold's processes exchange
// with each other (drpc), with engines and with the platform (JSON).
package messenger

import "fmt"

// Stamp returns the mark that a stage puts on each token that it ran.
func (s EngineStage) Stamp() string {
	return fmt.Sprintf("%s#%d:%d-%d@%s", s.Endpoint, s.Incarnation, s.From, s.To, s.Version)
}
