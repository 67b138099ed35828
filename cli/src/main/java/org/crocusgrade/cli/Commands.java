package org.crocusgrade.cli;

import java.util.List;

/** All commands, in the order in which {@code --help} lists them. */
final class Commands {
    static final List<Command> ALL =
            List.of(
                    new ValidateCommand(),
                    new PublishCommand(),
                    new ConfigShowCommand(),
                    new ConfigHistoryCommand(),
                    new StatusCommand(),
                    new PoolsCommand(),
                    new HostsCommand(),
                    new MovesCommand(),
                    new MaintenanceCommand(),
                    new ExplainCommand(),
                    new TryCommand(),
                    new LoadCommand(),
                    new StandinPlatformCommand(),
                    new StandinHostsCommand(),
                    new StandinWorkerCommand(),
                    new BenchCommand(),
                    new FaultsCommand());

    private Commands() {}
}
