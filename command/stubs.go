package command

import "github.com/urfave/cli/v3"

func newServe() *cli.Command    { return &cli.Command{Name: "serve"} }
func newPlatform() *cli.Command { return &cli.Command{Name: "platform"} }
func newInit() *cli.Command     { return &cli.Command{Name: "init"} }
func newCheck() *cli.Command    { return &cli.Command{Name: "check"} }
