import { Command, Option } from 'clipanion';
import { exitCodes } from '../exitCodes.js';
import type { ExitCode } from '../exitCodes.js';
import { parseMetrics } from '../metrics.js';
import { OperatorCommand } from '../OperatorCommand.js';
import { formatTable } from '../table.js';

/** Shows the metrics of one daemon. */
export class StatsCommand extends OperatorCommand {
  public static override paths = [['stats']];

  public static override usage = Command.Usage({
    category: 'Fleet',
    description: 'show counters and latencies of one daemon',
    examples: [['Only requests', '$0 stats --name limpettrack_requests']],
  });

  public name = Option.String('--name', 'limpettrack_', { description: 'prefix of the metrics' });

  protected override async run(): Promise<ExitCode> {
    const text = await (await this.daemonClient()).metrics();
    const samples = parseMetrics(text).filter(({ name }) => name.startsWith(this.name));
    const rows = samples.map(({ name, labels, value }) => [
      name,
      Object.entries(labels)
        .map(([label, content]) => `${label}=${content}`)
        .join(' '),
      value,
    ]);
    this.write(samples, formatTable(['metric', 'labels', 'value'], rows));
    return exitCodes.done;
  }
}
