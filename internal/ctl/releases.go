package ctl

func releaseCommands() []*command { return nil }
