#!/usr/bin/env node
import { isLeft } from 'fp-ts/lib/Either.js';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { createRandom, logSinks } from '../api/index.js';
import { badSettingsExitCode } from '../common/settings/index.js';
import { Daemon } from './Daemon.js';
import { readSettings } from './Settings.js';
import { SignalReceiver } from '../node/SignalReceiver.js';
import { SystemClock } from '../node/SystemClock.js';
import './plugins.js';

const usageExitCode = 64;

/** Runs a daemon until SIGTERM, SIGINT or SIGHUP, or checks its settings. */
class DaemonCommand extends Command {
  public static override readonly paths = [Command.Default];

  public static override readonly usage = Command.Usage({
    description: 'Runs a limpettrack daemon.',
    details:
      'SIGTERM, SIGINT and SIGHUP start a graceful shutdown; further ones do not shorten it. ' +
      'Exit codes: 0 stopped, 64 wrong arguments, 78 wrong settings.',
    examples: [
      ['Run', '$0 --settings daemon.ini'],
      ['Check a file', '$0 --check daemon.ini'],
    ],
  });

  private readonly settings = Option.String('--settings', { description: 'INI file to run with' });

  private readonly check = Option.String('--check', { description: 'INI file to check only' });

  public async execute(): Promise<number> {
    const file = this.check ?? this.settings;
    if (file === undefined) {
      this.context.stderr.write('either --settings FILE or --check FILE is needed\n');
      return usageExitCode;
    }
    const settings = readSettings(file);
    if (isLeft(settings)) {
      this.context.stderr.write(`${settings.left.problems.join('\n')}\n`);
      return badSettingsExitCode;
    }
    if (this.check !== undefined) {
      this.context.stdout.write(`${file}: no problems\n`);
      return 0;
    }
    const { logSink, logLevel } = settings.right;
    const daemon = new Daemon(settings.right, {
      clock: new SystemClock(),
      sink: logSinks.get(logSink)(logLevel),
      random: createRandom(Date.now() ^ process.pid),
    });
    const stop = new SignalReceiver(process, ['SIGTERM', 'SIGINT', 'SIGHUP']);
    await daemon.start();
    await stop.received;
    await daemon.stop();
    return 0;
  }
}

const cli = new Cli({ binaryName: 'limpettrackd', binaryLabel: 'limpettrack daemon' });
cli.register(DaemonCommand);
cli.register(Builtins.HelpCommand);
await cli.runExit(process.argv.slice(2));
