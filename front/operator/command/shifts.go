package command

import (
	"net/http"

	"github.com/cardamomfront/cardamomfront/front/operator/shiftcmd"
	"github.com/cardamomfront/cardamomfront/front/storage"
)

// openShifts resolves the settings for the shift commands. The caller closes
// the clients with the returned function.
func (f *flags) openShifts() (*shiftcmd.Session, func(), error) {
	settings, err := f.resolve()
	if err != nil {
		return nil, nil, err
	}
	client := storage.NewClient(storage.Settings{URL: settings.Platform})
	transport := &http.Transport{}
	session := &shiftcmd.Session{
		Table:       client,
		Environment: settings.Environment,
		Instances:   settings.Instances,
		HTTP:        &http.Client{Transport: transport},
		JSON:        f.output == outputJSON,
	}
	closeAll := func() {
		client.Close()
		transport.CloseIdleConnections()
	}
	return session, closeAll, nil
}
