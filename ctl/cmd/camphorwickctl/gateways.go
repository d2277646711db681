package main

import (
	"fmt"
	"slices"

	"camphorwick.dev/ctl"
)

// gatewayArgument lists the gateways that a command asks.
type gatewayArgument struct {
	Gateways []string `short:"g" long:"gateway" env:"CAMPHORWICK_GATEWAYS" env-delim:"," description:"readiness address of a gateway, IP:port or URL; may be repeated" value-name:"ADDRESS"`
}

// each calls f for each gateway. A gateway that does not answer is named on standard error;
// the error is that of the last one if none answers.
func (a *gatewayArgument) each(app *app, f func(ctl.Gateway) error) error {
	gateways := slices.DeleteFunc(a.Gateways, func(g string) bool { return g == "" }) // as of an empty variable
	if len(gateways) == 0 {
		return usageError("no gateway is given, use --gateway or CAMPHORWICK_GATEWAYS")
	}
	var last error
	answered := false
	for _, address := range gateways {
		if err := f(ctl.Gateway(address)); err != nil {
			fmt.Fprintln(app.err, "camphorwickctl:", err)
			last = err
			continue
		}
		answered = true
	}
	if answered {
		return nil
	}
	return last
}

type serversCommand struct {
	app *app
	outputFormat
	gatewayArgument
}

// Execute implements flags.Commander.
func (c *serversCommand) Execute([]string) error {
	reports := []ctl.ServerReport{}
	err := c.each(c.app, func(g ctl.Gateway) error {
		more, err := g.ServerReports(c.app.ctx)
		reports = append(reports, more...)
		return err
	})
	switch {
	case err != nil:
		return err
	case c.Output == "json":
		return ctl.WriteJSON(c.app.out, reports)
	}
	return ctl.WriteServerReports(c.app.out, reports)
}

type quarantineCommand struct {
	app *app
	outputFormat
	gatewayArgument
	Lift string `long:"lift" description:"end the quarantine of this part on all gateways" value-name:"PART"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	if c.Lift != "" {
		return c.lift()
	}
	parts := []ctl.QuarantinedPart{}
	err := c.each(c.app, func(g ctl.Gateway) error {
		more, err := g.Quarantine(c.app.ctx)
		parts = append(parts, more...)
		return err
	})
	switch {
	case err != nil:
		return err
	case c.Output == "json":
		return ctl.WriteJSON(c.app.out, parts)
	}
	return ctl.WriteQuarantine(c.app.out, parts)
}

// lift ends the quarantine of a part by way of the given gateways. One of them is enough,
// but one without the other gateways in reach would not tell them.
func (c *quarantineCommand) lift() error {
	return c.each(c.app, func(g ctl.Gateway) error {
		if err := g.Lift(c.app.ctx, c.Lift); err != nil {
			return err
		}
		fmt.Fprintf(c.app.out, "%s is no longer quarantined at %s\n", c.Lift, g)
		return nil
	})
}
