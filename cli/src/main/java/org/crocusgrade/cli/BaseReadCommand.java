package org.crocusgrade.cli;

import java.util.List;

/** Base of the commands that read a snapshot of the fleet and print a part of it. */
abstract class BaseReadCommand implements Command {
    private final String name;
    private final String help;

    BaseReadCommand(String name, String help) {
        this.name = name;
        this.help = help;
    }

    /** Prints the command's part of the snapshot. */
    abstract ExitCode show(Invocation invocation, FleetSnapshot fleet) throws CliException;

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
    public ExitCode run(Invocation invocation) throws CliException {
        FleetSnapshot fleet;
        try (PlatformAccess platform = invocation.platform()) {
            fleet = FleetSnapshot.read(platform);
        }
        return show(invocation, fleet);
    }
}
