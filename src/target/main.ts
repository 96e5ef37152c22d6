#!/usr/bin/env node
import { Builtins, Cli, Command, Option } from 'clipanion';
import { brandAs, createIncarnation, type ServiceName, type TargetId } from '../api/index.js';
import { SignalReceiver } from '../node/SignalReceiver.js';
import { Announcer } from './Announcer.js';
import { TargetServer } from './TargetServer.js';

/** Time between announcing the drain and stopping, so that the home and its peers stop sending requests. */
const drainNoticeMs = 3_000;

/** Runs one fake target until SIGTERM or SIGINT. */
class TargetCommand extends Command {
  public static override readonly usage = Command.Usage({
    description: 'Fake target with fault injection, for examples, tests and benchmarks.',
  });

  private readonly id = Option.String('--id', { required: true });

  private readonly service = Option.String('--service', { required: true });

  private readonly listen = Option.String('--listen', '127.0.0.1:0');

  private readonly homes = Option.String('--homes', '', {
    description: 'Addresses of the daemons to announce to, comma-separated, in order of preference',
  });

  private readonly slots = Option.String('--slots', '5');

  private readonly connections = Option.String('--connections', '330');

  private readonly serviceTime = Option.String('--service-time', '5');

  private readonly coldStart = Option.String('--cold-start', '0');

  private readonly seed = Option.String('--seed', '1');

  public async execute(): Promise<void> {
    const settings = {
      id: this.id,
      service: this.service,
      listen: this.listen,
      homes: this.homes.split(',').filter((home) => home !== ''),
      slots: Number(this.slots),
      connections: Number(this.connections),
      serviceTime: Number(this.serviceTime),
      coldStart: Number(this.coldStart),
      seed: Number(this.seed),
    };
    const server = new TargetServer(settings, () => process.exit(134));
    const port = await server.listen();
    const [host = '127.0.0.1'] = this.listen.split(':');
    const announcer = new Announcer(settings.homes, {
      id: brandAs<TargetId>(this.id),
      incarnation: createIncarnation(new Date(), process.pid),
      service: brandAs<ServiceName>(this.service),
      address: `${host}:${port}`,
      slots: settings.slots,
      connections: settings.connections,
    });
    await announcer.start();
    this.context.stdout.write(`${JSON.stringify({ id: this.id, address: `${host}:${port}` })}\n`);
    await new SignalReceiver(process, ['SIGTERM', 'SIGINT']).received;
    await announcer.drain();
    await new Promise((resolve) => {
      setTimeout(resolve, drainNoticeMs);
    });
    announcer.dispose();
    await server.close();
  }
}

const cli = new Cli({ binaryName: 'limpettrack-target', binaryVersion: '0.1.0' });
cli.register(TargetCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
