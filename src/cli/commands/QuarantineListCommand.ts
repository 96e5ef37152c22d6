import { Command } from 'clipanion';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { listQuarantine } from '../quarantine.js';
import { formatTable } from '../table.js';

/** Lists the fingerprints of requests that crashed targets: suspects and quarantined ones. */
export class QuarantineListCommand extends OperatorCommand {
  public static override paths = [['quarantine', 'list']];

  public static override usage = Command.Usage({
    category: 'Quarantine',
    description: 'list requests that crashed targets',
    details: 'A suspect has crashed one target and still runs; a quarantined request is refused.',
    examples: [['Which requests are refused', '$0 quarantine list']],
  });

  protected override async run(): Promise<ExitCode> {
    const entries = await listQuarantine(await this.openStore());
    const rows = entries.map(({ fingerprint, standing, crashes, crashedAt }) => [
      fingerprint,
      standing,
      new Date(crashedAt).toISOString(),
      crashes.join(' '),
    ]);
    this.write(entries, formatTable(['fingerprint', 'standing', 'last crash', 'targets'], rows));
    return exitCodes.done;
  }
}
