package deploy

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/zeebo/errs/v2"
)

func (d *Deployment) launch(p *Process, cfg any) error {
	b, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return errs.Wrap(err)
	}
	p.file = filepath.Join(d.Dir, p.ID+".json")
	p.logDir = d.Dir
	p.binary = d.binary
	if err := os.WriteFile(p.file, b, 0o600); err != nil {
		return errs.Wrap(err)
	}
	return p.start()
}

// Launch starts one process of a role with the given settings outside a deployment.
func Launch(binary, dir, id string, role string, control string, cfg any) (*Process, error) {
	d := &Deployment{
		Dir:    dir,
		binary: binary,
	}
	p := &Process{
		ID:      id,
		Role:    role,
		Control: control,
	}
	return p, d.launch(p, cfg)
}
