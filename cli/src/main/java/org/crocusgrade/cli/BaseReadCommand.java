package org.crocusgrade.cli;

import java.util.List;

/** A command that reads the fleet once and shows a part of it. */
abstract class BaseReadCommand implements Command {
    private final String name;
    private final String help;

    BaseReadCommand(String name, String help) {
        this.name = name;
        this.help = help;
    }

    /** Shows its part. */
    abstract ExitCode show(Invocation call, Fleet fleet) throws CliException;

    @Override
    public String name() {
        return name;
    }

    @Override
    public String help() {
        return help;
    }

    @Override
    public List<Option<?>> options() {
        return List.of(CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation call) throws CliException {
        Fleet fleet;
        try (PlatformAccess platform = call.platform()) {
            fleet = Fleet.read(platform);
        }
        return show(call, fleet);
    }
}
