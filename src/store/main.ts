#!/usr/bin/env node
import { Builtins, Cli, Command, Option, UsageError } from 'clipanion';
import { StoreServer } from './StoreServer.js';
import type { Address } from './StoreServer.js';
import { SystemClock } from '../node/SystemClock.js';

function parseAddress(text: string): Address {
  const match = /^(?<host>[^:]+):(?<port>\d{1,5})$/.exec(text);
  const port = Number(match?.groups?.port);
  if (match?.groups?.host === undefined || port > 65_535) {
    throw new UsageError(`"${text}" is not an address; allowed: host:port`);
  }
  return { host: match.groups.host, port };
}

function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}

/** Runs the store emulator until SIGTERM or SIGINT. */
class RunCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: "in-memory emulator of the platform's key-value store",
    details: 'Port 0 selects a free port. The first line of the output gives the bound addresses.',
    examples: [['Run on loopback', '$0 --listen 127.0.0.1:2379 --control 127.0.0.1:2380']],
  });

  public listen = Option.String('--listen', '127.0.0.1:2379', { description: 'gRPC address' });

  public control = Option.String('--control', '127.0.0.1:2380', {
    description: 'HTTP address for faults and counters',
  });

  public async execute(): Promise<number> {
    const server = new StoreServer(new SystemClock());
    const bound = await server.open({
      listen: parseAddress(this.listen),
      control: parseAddress(this.control),
    });
    this.context.stdout.write(
      `listen=${formatAddress(bound.listen)} control=${formatAddress(bound.control)}\n`,
    );
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    server.dispose();
    return 0;
  }
}

const cli = new Cli({ binaryName: 'limpettrack-store', binaryLabel: 'limpettrack store emulator' });
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
